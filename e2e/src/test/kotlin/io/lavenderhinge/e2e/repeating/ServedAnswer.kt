package io.lavenderhinge.e2e.repeating

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toImmutableList

/** The original answer of a server to a request. All bodies are ASCII text. */
internal data class ServedAnswer(
    val requestId: String,
    val status: Int,
    val signature: String?,
    val body: String,
    val hasRun: Boolean,
    /** The events of a stream, which make up the [body]; empty for other answers. */
    val events: ImmutableList<String> = persistentListOf(),
    /** Kinds of the copies that came on the connection since the answer before. */
    val precedingCopies: ImmutableList<String> = persistentListOf(),
)

/** Makes the answer of the server [serverId] to [request] according to [plan]. */
internal fun answerTo(request: ServerRequest, serverId: String, plan: AnswerPlan): ServedAnswer {
    val id = request.id
    return when (plan.outcome) {
        AnswerOutcome.SUCCESS -> success(request, "$serverId.$id", plan)
        AnswerOutcome.FAILURE ->
            ServedAnswer(id, 500, "$serverId.$id", "failure of $id", hasRun = true)
        AnswerOutcome.REFUSAL,
        AnswerOutcome.REFUSAL_WITHOUT_ID ->
            ServedAnswer(id, 503, signature = null, "refusal of $id", hasRun = false)
    }
}

private fun success(request: ServerRequest, signature: String, plan: AnswerPlan): ServedAnswer {
    val id = request.id
    if (!request.isStream) {
        val body = "body of $id ".padEnd(plan.bodySizeBytes, '.')
        return ServedAnswer(id, 200, signature, body, hasRun = true)
    }
    val events = List(plan.eventCount) { "id: ${it + 1}\ndata: event of $id\n\n" }
    return ServedAnswer(
        id,
        200,
        signature,
        events.joinToString(""),
        hasRun = true,
        events.toImmutableList(),
    )
}
