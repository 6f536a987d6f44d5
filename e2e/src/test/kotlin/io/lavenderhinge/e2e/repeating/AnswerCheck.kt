package io.lavenderhinge.e2e.repeating

import io.lavenderhinge.e2e.repeating.CallerResult.Answered
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.toImmutableList
import kotlinx.collections.immutable.toImmutableMap

/** A request and what its caller got. */
internal data class CompletedCall(val request: CallerRequest, val result: CallerResult)

/** What is wrong with the answer to a request, and the copies that may have caused it. */
internal data class Finding(val kind: String, val detail: String, val copies: List<String>)

/** Compares what callers got with what the servers did. */
internal class AnswerCheck(calls: List<CompletedCall>, private val log: ServerLog) {
    private val calls: ImmutableList<CompletedCall> = calls.toImmutableList()

    /** Number of answers of servers that were compared with what the caller got. */
    val comparedCount: Int = calls.count { (it.result as? Answered)?.signature != null }

    /** Number of calls by their result. */
    val resultCounts: ImmutableMap<String, Int> =
        calls.groupingBy { resultName(it.result) }.eachCount().toSortedMap().toImmutableMap()

    fun findings(): ImmutableList<Finding> =
        (calls.mapNotNull(::mixed) +
                calls.mapNotNull(::runTwice) +
                calls.mapNotNull(::refusedButRun) +
                calls.mapNotNull(::unanswered) +
                unasked())
            .toImmutableList()

    private fun resultName(result: CallerResult): String =
        when (result) {
            is Answered -> "${result.status}${if (result.signature == null) " unsigned" else ""}"
            else -> result::class.simpleName.orEmpty()
        }

    private fun mixed(call: CompletedCall): Finding? {
        val got = call.result as? Answered ?: return null
        val id = call.request.id
        val isOwn =
            if (got.signature == null) got.status in GATEWAY_STATUSES
            else log.answersTo(id).any { isSame(it, got) }
        val statedId = got.requestId
        if (isOwn && (statedId == null || statedId == id)) return null
        return finding("MIXED", call.request, "got ${describe(got)}")
    }

    private fun describe(got: Answered) =
        "${got.status} ${got.signature} '${got.body.take(MAX_PRINTED_CHARS)}'"

    private fun isSame(served: ServedAnswer, got: Answered) =
        served.status == got.status && served.signature == got.signature && served.body == got.body

    private fun runTwice(call: CompletedCall): Finding? {
        val runCount = log.runCount(call.request.id)
        if (call.request.prefix == IDEMPOTENT_PREFIX || runCount <= 1) return null
        return finding("TWICE", call.request, "ran $runCount times")
    }

    private fun refusedButRun(call: CompletedCall): Finding? {
        val got = call.result as? Answered ?: return null
        if (got.status !in NOT_RUN_STATUSES || log.runCount(call.request.id) == 0) return null
        return finding("REFUSED BUT RUN", call.request, "got ${got.status}")
    }

    private fun unanswered(call: CompletedCall): Finding? {
        if (call.result !is CallerResult.Unanswered) return null
        return finding("UNANSWERED", call.request, "got nothing")
    }

    private fun unasked(): List<Finding> =
        (log.requestIds() - calls.map { it.request.id }.toSet()).map {
            Finding("UNASKED", "request $it", emptyList())
        }

    private fun finding(kind: String, request: CallerRequest, detail: String): Finding {
        val answers = log.answersTo(request.id)
        val served = answers.map { "${it.status} ${it.signature}" }
        return Finding(
            kind,
            "${request.prefix}${request.id}: $detail, served $served",
            answers.flatMap { it.precedingCopies },
        )
    }

    private companion object {
        const val MAX_PRINTED_CHARS = 40
        val NOT_RUN_STATUSES = setOf(408, 421, 429, 503)
        val GATEWAY_STATUSES = NOT_RUN_STATUSES + setOf(502, 504)
    }
}
