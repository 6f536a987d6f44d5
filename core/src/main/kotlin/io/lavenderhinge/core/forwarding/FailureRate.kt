package io.lavenderhinge.core.forwarding

/** The share of failed answers among the recent answers of one server. */
internal class FailureRate {
    private var answerCount = 0.0
    private var failureCount = 0.0

    /** Records an answer. Older answers lose weight with each new one. */
    fun record(isFailure: Boolean) {
        answerCount = answerCount * RETAINED_WEIGHT + 1
        failureCount = failureCount * RETAINED_WEIGHT + if (isFailure) 1 else 0
    }

    /** Returns the share of failures, which is near [expected] while there are few answers. */
    fun fraction(expected: Double): Double =
        (failureCount + expected * EXPECTED_WEIGHT) / (answerCount + EXPECTED_WEIGHT)

    /** Forgets all answers. */
    fun clear() {
        answerCount = 0.0
        failureCount = 0.0
    }

    private companion object {
        /** Keeps the weight of about the last 50 answers. */
        const val RETAINED_WEIGHT = 0.98
        /** Number of answers that outweigh an expectation. */
        const val EXPECTED_WEIGHT = 5.0
    }
}
