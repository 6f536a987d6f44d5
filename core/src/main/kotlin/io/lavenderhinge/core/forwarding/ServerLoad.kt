package io.lavenderhinge.core.forwarding

/**
 * What one server has to do, and how much of it is left for requests, during a pass over a queue.
 */
internal class ServerLoad(
    val record: ServerRecord,
    /** What peers have in flight at the server. */
    private val peerUse: ServerUse,
    /** Number of requests that the server takes at a time. */
    val slots: Int,
    /** Expected time of work, relative to the usual time on the machine of the server. */
    val workTimeFactor: Double = 1.0,
    /** Requests that the server has stated and no instance reports. */
    private val unreportedRequests: Int = 0,
    /** How long this instance has to wait because of a limit that the server states. */
    private val limitWait: () -> Double,
) {
    /** Slots that are kept for requests of the queue which wait for this server. */
    var reservedSlots = 0

    /** Requests in flight and reserved slots. */
    val busy: Int
        get() = record.inFlight + peerUse.inFlight + unreportedRequests + reservedSlots

    /** Prompt tokens that the server has to read. */
    val pendingTokens: Double
        get() = record.pendingTokens + peerUse.pendingTokens

    val limitWaitMillis: Double
        get() = limitWait()

    /** Number of requests that may be sent now; not positive if there is none. */
    val freeSlots: Int
        get() = if (limitWaitMillis > 0) 0 else slots - busy
}
