package io.lavenderhinge.core.forwarding

/**
 * The cost of sending a request to another failure domain, whose link is charged by the byte.
 *
 * Prompts of 1,110 to 3,720 tokens with responses of some tens of events cross the link. Load
 * reports cross it in any case and are therefore no part of the cost of one request. The round trip
 * is part of the estimate for the server there.
 */
internal object SpilloverCost {
    private const val HEAD_BYTES = 1_024.0
    private const val BYTES_PER_TOKEN = 4.0
    /** An event with its framing, and the share of the headers of its packet. */
    private const val BYTES_PER_EVENT = 160.0
    private const val BYTES_PER_KIBIBYTE = 1_024.0
    /**
     * What a caller has to gain for each KiB. A typical stream moves 20 to 30 KiB, which then has
     * to save more than a tenth of the shortest of its usual pauses between events, 400 ms.
     */
    private const val MILLIS_PER_KIBIBYTE = 1.5

    /** Returns the expected size of [request] and its response. */
    fun sizeBytes(request: DispatchRequest): Double =
        HEAD_BYTES +
            request.promptTokens * BYTES_PER_TOKEN +
            request.expectedEvents * BYTES_PER_EVENT

    /** Returns how much sooner its first event has to come for [request] to leave. */
    fun requiredGainMillis(request: DispatchRequest): Double =
        sizeBytes(request) / BYTES_PER_KIBIBYTE * MILLIS_PER_KIBIBYTE
}
