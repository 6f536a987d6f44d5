package io.lavenderhinge.core.health

/**
 * Health of the backend servers as one instance judges it from its own evidence and the list.
 *
 * Call with [HealthEvent.Tick] at least every 250 ms; the times to `DEAD` and `LEAVING` assume it.
 */
class HealthTable {
    private val servers = LinkedHashMap<String, ServerHealth>()

    /** State of a server; null when it was never listed. */
    fun state(serverId: String): ServerState? = servers[serverId]?.state

    /**
     * Share of its usual traffic that a server should get: 0 when it is dead, leaving or unknown.
     */
    fun weightFraction(serverId: String, nowMillis: Long): Double =
        servers[serverId]?.weightFraction(nowMillis) ?: 0.0

    /** Takes [event] and returns what to do. */
    fun on(event: HealthEvent, nowMillis: Long): List<HealthEffect> =
        when (event) {
            is HealthEvent.Answered -> with(event.serverId) { answered(it, event, nowMillis) }
            is HealthEvent.Failed -> with(event.serverId) { failed(it, event.kind, nowMillis) }
            is HealthEvent.Listed -> listed(event, nowMillis)
            is HealthEvent.Unlisted -> with(event.serverId) { unlisted(it, nowMillis) }
            is HealthEvent.LoadReported -> with(event.serverId) { loadReported(it, nowMillis) }
            HealthEvent.Tick -> servers.values.flatMap { tick(it, nowMillis) }
        }

    private fun with(
        serverId: String,
        rule: (ServerHealth) -> List<HealthEffect>,
    ): List<HealthEffect> = servers[serverId]?.let(rule) ?: emptyList()

    private fun poolOf(server: ServerHealth): List<ServerHealth> =
        servers.values.filter { it.pool == server.pool }

    private fun answered(
        server: ServerHealth,
        event: HealthEvent.Answered,
        nowMillis: Long,
    ): List<HealthEffect> {
        server.failures.answered()
        event.firstTokenMillis?.let(server.speed::add)
        return when (server.state) {
            ServerState.SUSPECT -> server.enter(ServerState.LIVE, "it answers again", nowMillis)
            ServerState.DEAD -> recoverWhenConfirmed(server, nowMillis)
            ServerState.LIVE,
            ServerState.SLOW -> judgeSpeed(server, nowMillis)
            ServerState.RECOVERING,
            ServerState.LEAVING -> emptyList()
        }
    }

    private fun loadReported(server: ServerHealth, nowMillis: Long): List<HealthEffect> {
        val wasUnreachable = server.failures.firstConnectionFailureMillis != null
        server.failures.reachable()
        return when (server.state) {
            ServerState.SUSPECT ->
                if (wasUnreachable) server.enter(ServerState.LIVE, "it is reachable", nowMillis)
                else emptyList()
            ServerState.DEAD -> recoverWhenConfirmed(server, nowMillis)
            else -> emptyList()
        }
    }

    private fun recoverWhenConfirmed(server: ServerHealth, nowMillis: Long): List<HealthEffect> {
        server.successesWhileDead++
        val rested = nowMillis - server.sinceMillis >= MIN_DEAD_MILLIS
        if (!rested || server.successesWhileDead < RECOVERY_SUCCESSES) return emptyList()
        server.failures.answered()
        return server.enter(ServerState.RECOVERING, "it answers probes again", nowMillis)
    }

    private fun failed(
        server: ServerHealth,
        kind: FailureKind,
        nowMillis: Long,
    ): List<HealthEffect> {
        if (kind == FailureKind.DRAINING) {
            return server.enter(
                ServerState.LEAVING,
                "it refuses new work while draining",
                nowMillis,
            )
        }
        server.successesWhileDead = 0
        server.failures.failed(kind, nowMillis)
        if (server.state == ServerState.DEAD || server.state == ServerState.LEAVING) {
            return emptyList()
        }
        val removed = removeWhenCertain(server, nowMillis)
        if (removed.isNotEmpty() || kind == FailureKind.SERVER_ERROR) return removed
        return suspect(server, nowMillis)
    }

    private fun suspect(server: ServerHealth, nowMillis: Long): List<HealthEffect> =
        server.enter(ServerState.SUSPECT, "a connection or request failed", nowMillis) +
            probeWhenDue(server, SUSPECT_PROBE_MILLIS, nowMillis)

    private fun removeWhenCertain(server: ServerHealth, nowMillis: Long): List<HealthEffect> {
        val reason = server.failures.verdict(nowMillis) ?: return emptyList()
        if (PoolGuard.mayRemove(poolOf(server))) {
            return server.enter(ServerState.DEAD, reason, nowMillis)
        }
        return server.enter(
            ServerState.SUSPECT,
            "$reason, as do most servers of its pool",
            nowMillis,
        )
    }

    private fun listed(event: HealthEvent.Listed, nowMillis: Long): List<HealthEffect> {
        val server = servers.getOrPut(event.serverId) { ServerHealth(event.serverId, event.pool) }
        server.pool = event.pool
        if (event.leaving) {
            return server.enter(ServerState.LEAVING, "the list shows it as leaving", nowMillis)
        }
        // The list lags: it still shows a server as live that has just said that it is draining.
        val settled = nowMillis - server.sinceMillis >= LIST_LAG_MILLIS
        if (server.state != ServerState.LEAVING || !settled) return emptyList()
        server.failures.answered()
        return server.enter(ServerState.RECOVERING, "the list shows it as live again", nowMillis)
    }

    private fun unlisted(server: ServerHealth, nowMillis: Long): List<HealthEffect> =
        if (PoolGuard.mayUnlist(poolOf(server), server)) {
            server.enter(ServerState.LEAVING, "the list no longer shows it", nowMillis)
        } else {
            emptyList()
        }

    private fun tick(server: ServerHealth, nowMillis: Long): List<HealthEffect> =
        when (server.state) {
            ServerState.SUSPECT ->
                removeWhenCertain(server, nowMillis) +
                    probeWhenDue(server, SUSPECT_PROBE_MILLIS, nowMillis)
            ServerState.DEAD -> probeWhenDue(server, DEAD_PROBE_MILLIS, nowMillis)
            ServerState.RECOVERING ->
                if (SlowStart.finished(server.sinceMillis, nowMillis)) {
                    server.enter(ServerState.LIVE, "it has recovered", nowMillis)
                } else {
                    emptyList()
                }
            ServerState.LIVE,
            ServerState.SLOW -> judgeSpeed(server, nowMillis)
            ServerState.LEAVING -> emptyList()
        }

    private fun probeWhenDue(
        server: ServerHealth,
        periodMillis: Long,
        nowMillis: Long,
    ): List<HealthEffect> {
        if (nowMillis - server.lastProbeMillis < periodMillis) return emptyList()
        server.lastProbeMillis = nowMillis
        return listOf(HealthEffect.Probe(server.id))
    }

    private fun judgeSpeed(server: ServerHealth, nowMillis: Long): List<HealthEffect> {
        val own = server.speed.millis ?: return emptyList()
        val usual = medianMillis(server) ?: return emptyList()
        val ratio = own / usual
        server.slowFraction = (1 / ratio).coerceIn(SMALLEST_SLOW_FRACTION, 1.0)
        if (ratio >= SLOW_RATIO) {
            return server.enter(ServerState.SLOW, "slow first tokens: $own ms", nowMillis)
        }
        if (server.state != ServerState.SLOW || ratio > RECOVERED_RATIO) return emptyList()
        return server.enter(ServerState.LIVE, "its first tokens are as fast as usual", nowMillis)
    }

    private fun medianMillis(server: ServerHealth): Double? {
        val others = poolOf(server).filter { it !== server }.mapNotNull { it.speed.millis }.sorted()
        return others.getOrNull(others.size / 2)?.takeIf { it > 0 }
    }

    private companion object {
        const val SUSPECT_PROBE_MILLIS = 400L
        const val DEAD_PROBE_MILLIS = 1_000L

        /** Keeps a server that fails every second request from coming and going. */
        const val MIN_DEAD_MILLIS = 5_000L
        const val RECOVERY_SUCCESSES = 3
        const val LIST_LAG_MILLIS = 10_000L
        const val SLOW_RATIO = 3.0
        const val RECOVERED_RATIO = 1.5
        const val SMALLEST_SLOW_FRACTION = 0.1
    }
}
