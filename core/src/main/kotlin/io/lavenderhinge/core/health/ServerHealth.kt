package io.lavenderhinge.core.health

/** Health state and statistics of one backend server. */
internal class ServerHealth(val id: String, var pool: String) {
    val failures = FailureCounter()
    val firstTokenLatency = FirstTokenLatency()
    var state = ServerState.LIVE
        private set

    /** Time at which [state] was entered. */
    var sinceMillis = 0L
        private set

    var lastProbeMillis = Long.MIN_VALUE / 2
    var successesWhileDead = 0

    /** Fraction of its usual traffic that a slow server gets. */
    var slowFraction = 1.0

    fun enter(next: ServerState, reason: String, nowMillis: Long): List<HealthEffect> {
        if (next == state) return emptyList()
        state = next
        sinceMillis = nowMillis
        if (next == ServerState.DEAD) successesWhileDead = 0
        if (next == ServerState.RECOVERING) firstTokenLatency.reset()
        return listOf(HealthEffect.StateChanged(id, next, reason))
    }

    /** Fraction of its usual traffic that the server should get. */
    fun weightFraction(nowMillis: Long): Double =
        when (state) {
            ServerState.LIVE -> 1.0
            ServerState.SUSPECT -> SUSPECT_FRACTION
            ServerState.SLOW -> slowFraction
            ServerState.RECOVERING -> SlowStart.fraction(sinceMillis, nowMillis)
            ServerState.LEAVING,
            ServerState.DEAD -> 0.0
        }

    private companion object {
        /** Enough to detect that the server answers, but low enough to fail few requests. */
        const val SUSPECT_FRACTION = 0.1
    }
}
