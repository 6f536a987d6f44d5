package io.lavenderhinge.e2e.repeating

import kotlinx.collections.immutable.ImmutableList

/** What a server makes of a request. */
internal enum class AnswerOutcome {
    SUCCESS,
    /** A 500; the request has run. */
    FAILURE,
    /** A 503 with the statement that the request has not run. */
    REFUSAL,
    /** A [REFUSAL] whose original has no request id. */
    REFUSAL_WITHOUT_ID,
}

/** How the end of a body is marked. */
internal enum class BodyFraming {
    LENGTH,
    CHUNKED,
}

/** When a server sends a copy of an answer. */
internal sealed interface CopyTiming {
    /** When a later request of the connection arrives, before that request is executed. */
    data object AtRequest : CopyTiming

    /** Directly before the answer to a later request of the connection. */
    data object BeforeAnswer : CopyTiming

    /** A while after the original, also while a later request is being executed. */
    data class After(val millis: Long) : CopyTiming

    /** The first [sizeBytes] bytes directly after the original, the others at a later request. */
    data class BegunEarly(val sizeBytes: Int) : CopyTiming
}

/** The part of a copy that the server sends. */
internal enum class CopyExtent {
    WHOLE,
    /** The head breaks off, and the next answer of the connection follows directly. */
    HEAD_BREAKS_OFF,
    /** The body breaks off, and the connection stays open. */
    BODY_BREAKS_OFF,
    /** The body breaks off, and the server closes the connection. */
    BODY_BREAKS_OFF_AND_CLOSES,
}

/** How a server repeats an answer. */
internal data class CopyPlan(
    val hasId: Boolean,
    val timing: CopyTiming,
    val extent: CopyExtent,
    /** The share of the head that is sent if the head breaks off. */
    val headShare: Double,
    /** Number of requests of the connection that are answered before the copy is sent. */
    val skippedRequestCount: Int,
    /** Pause between the head and the body of the copy. */
    val bodyPauseMillis: Long,
    val count: Int,
) {
    /** Names the kind of copy in reports. */
    fun describe(outcome: AnswerOutcome): String {
        val id = if (hasId) "with id" else "without id"
        return "$outcome $id ${timing::class.simpleName} $extent"
    }
}

/** How a server answers one request. */
internal data class AnswerPlan(
    val outcome: AnswerOutcome,
    val framing: BodyFraming,
    val executionMillis: Long,
    /** Pause between the head and the body of the original. */
    val bodyPauseMillis: Long,
    val bodySizeBytes: Int,
    val eventCount: Int,
    val copies: ImmutableList<CopyPlan>,
)
