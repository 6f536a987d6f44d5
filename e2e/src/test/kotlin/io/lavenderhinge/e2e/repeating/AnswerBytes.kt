package io.lavenderhinge.e2e.repeating

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.toImmutableList

/** Head and body of an answer as they are sent. */
internal class AnswerBytes(val head: ByteArray, bodyPieces: List<ByteArray>) {
    val bodyPieces: ImmutableList<ByteArray> = bodyPieces.toImmutableList()
    val body: ByteArray
        get() = bodyPieces.fold(ByteArray(0), ByteArray::plus)
}

/** Renders [answer] for the wire; [hasId] tells whether it names its request. */
internal fun renderAnswer(answer: ServedAnswer, plan: AnswerPlan, hasId: Boolean): AnswerBytes {
    val isStream = answer.events.isNotEmpty()
    val fields = buildList {
        add(if (isStream) "Content-Type: text/event-stream" else "Content-Type: text/plain")
        if (hasId) add("X-Lavenderhinge-Request-Id: ${answer.requestId}")
        answer.signature?.let { add("X-Lavenderhinge-Server-Signature: $it") }
        if (!answer.hasRun) add("X-Lavenderhinge-Not-Executed: 1")
        when (plan.framing) {
            BodyFraming.LENGTH -> add("Content-Length: ${answer.body.length}")
            BodyFraming.CHUNKED -> add("Transfer-Encoding: chunked")
        }
    }
    val head = "HTTP/1.1 ${answer.status} Answer\r\n${fields.joinToString("\r\n")}\r\n\r\n"
    val parts = if (isStream) answer.events else listOf(answer.body)
    return AnswerBytes(head.toByteArray(), framedParts(parts, plan.framing))
}

private fun framedParts(parts: List<String>, framing: BodyFraming): List<ByteArray> =
    when (framing) {
        BodyFraming.LENGTH -> parts.map(String::toByteArray)
        BodyFraming.CHUNKED -> {
            val chunks = parts.filter(String::isNotEmpty).map { chunk(it).toByteArray() }
            chunks + "0\r\n\r\n".toByteArray()
        }
    }

private fun chunk(text: String) = "${text.length.toString(radix = 16)}\r\n$text\r\n"
