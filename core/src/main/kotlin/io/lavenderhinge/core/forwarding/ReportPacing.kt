package io.lavenderhinge.core.forwarding

/**
 * How often an instance reports its load.
 *
 * Each change is reported, but only after a pause since the last report. The pause grows with the
 * number of peers, so that the rate of datagrams that an instance handles does not.
 */
object ReportPacing {
    private const val MIN_PAUSE_MILLIS = 15L
    private const val PAUSE_PER_PEER_MILLIS = 3L
    /** Lowers the rate of datagrams above 60 peers, where placement tolerates older reports. */
    private const val LARGE_FLEET_PAUSE_DIVISOR = 20L
    /** Reports expire after little more than this. */
    private const val MAX_PAUSE_MILLIS = 500L

    /** Returns the shortest time between two reports of an instance with [peerCount] peers. */
    fun pauseMillis(peerCount: Int): Long {
        val count = peerCount.toLong()
        return maxOf(
                MIN_PAUSE_MILLIS,
                count * PAUSE_PER_PEER_MILLIS,
                count * count / LARGE_FLEET_PAUSE_DIVISOR,
            )
            .coerceAtMost(MAX_PAUSE_MILLIS)
    }
}
