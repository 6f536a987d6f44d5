package io.lavenderhinge.core.scheduling

/** An ask in a home's queue. [arrivalNumber] orders asks by arrival. */
internal class QueuedRequest(
    val request: GrantRequest,
    val arrivalNumber: Long,
    val cachedPrefixTokens: Int,
) {
    /** Prompt tokens that the backend server has to compute. */
    val prefillTokens: Int = (request.promptTokens - cachedPrefixTokens).coerceAtLeast(0)

    /** Set when the ask can no longer meet its first-token target. */
    var isLate: Boolean = false

    /** Cost for fair queueing: tokens computed, or one for a plain service. */
    val cost: Double = (prefillTokens * PREFILL_COST + request.outputTokens).coerceAtLeast(1.0)

    private companion object {
        /** A prefill token costs an engine about a tenth of a generated one. */
        const val PREFILL_COST = 0.1
    }
}
