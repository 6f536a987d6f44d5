package io.lavenderhinge.core.scheduling

/** A grant request in the queue of a home. [arrivalNumber] orders requests by arrival. */
internal class QueuedRequest(
    val request: GrantRequest,
    val arrivalNumber: Long,
    val cachedPrefixTokens: Int,
) {
    /** Prompt tokens that the backend server has to compute. */
    val prefillTokens: Int = (request.promptTokens - cachedPrefixTokens).coerceAtLeast(0)

    /** True once the request can no longer meet its first-token target. */
    var isLate: Boolean = false

    /** Cost for fair queueing: weighted tokens to compute, or one for a plain service. */
    val cost: Double = (prefillTokens * PREFILL_COST + request.outputTokens).coerceAtLeast(1.0)

    private companion object {
        /** Prefilling a token costs an engine about a tenth of generating one. */
        const val PREFILL_COST = 0.1
    }
}
