package io.lavenderhinge.core.health

/**
 * Health state of the backend servers, derived by one instance from its own observations and from
 * the live list.
 *
 * Requires a [HealthEvent.Tick] at least every 250 ms; the time to detect a dead or leaving server
 * depends on it.
 */
class HealthTable {
    private val servers = LinkedHashMap<String, ServerHealth>()

    /** Returns the state of a server, or null if it was never listed. */
    fun state(serverId: String): ServerState? = servers[serverId]?.state

    /** Fraction of its usual traffic that a server should get; 0 if dead, leaving or unknown. */
    fun weightFraction(serverId: String, nowMillis: Long): Double =
        servers[serverId]?.weightFraction(nowMillis) ?: 0.0

    /** Handles [event] and returns the effects to execute. */
    fun handle(event: HealthEvent, nowMillis: Long): List<HealthEffect> =
        when (event) {
            is HealthEvent.Answered ->
                withServer(event.serverId) { onAnswered(it, event, nowMillis) }
            is HealthEvent.Failed ->
                withServer(event.serverId) { onFailed(it, event.kind, nowMillis) }
            is HealthEvent.Listed -> onListed(event, nowMillis)
            is HealthEvent.Unlisted -> withServer(event.serverId) { onUnlisted(it, nowMillis) }
            is HealthEvent.LoadReported ->
                withServer(event.serverId) { onLoadReported(it, nowMillis) }
            HealthEvent.Tick -> servers.values.flatMap { onTick(it, nowMillis) }
        }

    private fun withServer(
        serverId: String,
        handler: (ServerHealth) -> List<HealthEffect>,
    ): List<HealthEffect> = servers[serverId]?.let(handler) ?: emptyList()

    private fun poolOf(server: ServerHealth): List<ServerHealth> =
        servers.values.filter { it.pool == server.pool }

    private fun onAnswered(
        server: ServerHealth,
        event: HealthEvent.Answered,
        nowMillis: Long,
    ): List<HealthEffect> {
        server.failures.onAnswered()
        event.firstTokenMillis?.let(server.firstTokenLatency::add)
        return when (server.state) {
            ServerState.SUSPECT ->
                server.enter(ServerState.LIVE, "it is answering requests again", nowMillis)
            ServerState.DEAD -> recoverIfConfirmed(server, nowMillis)
            ServerState.LIVE,
            ServerState.SLOW -> compareWithPool(server, nowMillis)
            ServerState.RECOVERING,
            ServerState.LEAVING -> emptyList()
        }
    }

    private fun onLoadReported(server: ServerHealth, nowMillis: Long): List<HealthEffect> {
        val wasUnreachable = server.failures.firstConnectionFailureMillis != null
        server.failures.onReachable()
        return when (server.state) {
            ServerState.SUSPECT ->
                if (wasUnreachable)
                    server.enter(ServerState.LIVE, "it is reachable again", nowMillis)
                else emptyList()
            ServerState.DEAD -> recoverIfConfirmed(server, nowMillis)
            else -> emptyList()
        }
    }

    private fun recoverIfConfirmed(server: ServerHealth, nowMillis: Long): List<HealthEffect> {
        server.successesWhileDead++
        val wasDeadLongEnough = nowMillis - server.sinceMillis >= MIN_DEAD_MILLIS
        if (!wasDeadLongEnough || server.successesWhileDead < RECOVERY_SUCCESSES) return emptyList()
        server.failures.onAnswered()
        return server.enter(ServerState.RECOVERING, "it is answering probes again", nowMillis)
    }

    private fun onFailed(
        server: ServerHealth,
        kind: FailureKind,
        nowMillis: Long,
    ): List<HealthEffect> {
        if (kind == FailureKind.DRAINING) {
            return server.enter(
                ServerState.LEAVING,
                "it rejects new requests while draining",
                nowMillis,
            )
        }
        server.successesWhileDead = 0
        server.failures.onFailure(kind, nowMillis)
        if (server.state == ServerState.DEAD || server.state == ServerState.LEAVING) {
            return emptyList()
        }
        val changes = markDeadIfConfirmed(server, nowMillis)
        if (changes.isNotEmpty() || kind == FailureKind.SERVER_ERROR) return changes
        return markSuspect(server, nowMillis)
    }

    private fun markSuspect(server: ServerHealth, nowMillis: Long): List<HealthEffect> =
        server.enter(ServerState.SUSPECT, "a connection or request failed", nowMillis) +
            probeIfDue(server, SUSPECT_PROBE_INTERVAL_MILLIS, nowMillis)

    private fun markDeadIfConfirmed(server: ServerHealth, nowMillis: Long): List<HealthEffect> {
        val reason = server.failures.deadReason(nowMillis) ?: return emptyList()
        if (EjectionLimit.mayEject(poolOf(server))) {
            return server.enter(ServerState.DEAD, reason, nowMillis)
        }
        return server.enter(
            ServerState.SUSPECT,
            "$reason, but most servers of its pool are failing as well",
            nowMillis,
        )
    }

    private fun onListed(event: HealthEvent.Listed, nowMillis: Long): List<HealthEffect> {
        val server = servers.getOrPut(event.serverId) { ServerHealth(event.serverId, event.pool) }
        server.pool = event.pool
        if (event.leaving) {
            return server.enter(ServerState.LEAVING, "the live list marks it as leaving", nowMillis)
        }
        // The list lags: it may still show a server as live that has just reported that it is
        // draining.
        val isListCurrent = nowMillis - server.sinceMillis >= MAX_LIST_LAG_MILLIS
        if (server.state != ServerState.LEAVING || !isListCurrent) return emptyList()
        server.failures.onAnswered()
        return server.enter(
            ServerState.RECOVERING,
            "the live list shows it as live again",
            nowMillis,
        )
    }

    private fun onUnlisted(server: ServerHealth, nowMillis: Long): List<HealthEffect> =
        if (EjectionLimit.mayUnlist(poolOf(server), server)) {
            server.enter(ServerState.LEAVING, "the live list no longer contains it", nowMillis)
        } else {
            emptyList()
        }

    private fun onTick(server: ServerHealth, nowMillis: Long): List<HealthEffect> =
        when (server.state) {
            ServerState.SUSPECT ->
                markDeadIfConfirmed(server, nowMillis) +
                    probeIfDue(server, SUSPECT_PROBE_INTERVAL_MILLIS, nowMillis)
            ServerState.DEAD -> probeIfDue(server, DEAD_PROBE_INTERVAL_MILLIS, nowMillis)
            ServerState.RECOVERING ->
                if (SlowStart.isFinished(server.sinceMillis, nowMillis)) {
                    server.enter(ServerState.LIVE, "its slow start is complete", nowMillis)
                } else {
                    emptyList()
                }
            ServerState.LIVE,
            ServerState.SLOW -> compareWithPool(server, nowMillis)
            ServerState.LEAVING -> emptyList()
        }

    private fun probeIfDue(
        server: ServerHealth,
        periodMillis: Long,
        nowMillis: Long,
    ): List<HealthEffect> {
        if (nowMillis - server.lastProbeMillis < periodMillis) return emptyList()
        server.lastProbeMillis = nowMillis
        return listOf(HealthEffect.Probe(server.id))
    }

    private fun compareWithPool(server: ServerHealth, nowMillis: Long): List<HealthEffect> {
        val own = server.firstTokenLatency.millis ?: return emptyList()
        val poolMedian = medianMillis(server) ?: return emptyList()
        val ratio = own / poolMedian
        server.slowFraction = (1 / ratio).coerceIn(MIN_SLOW_FRACTION, 1.0)
        if (ratio >= SLOW_LATENCY_RATIO) {
            return server.enter(
                ServerState.SLOW,
                "its time to first token is too high: $own ms",
                nowMillis,
            )
        }
        if (server.state != ServerState.SLOW || ratio > RECOVERED_LATENCY_RATIO) return emptyList()
        return server.enter(
            ServerState.LIVE,
            "its time to first token is back to normal",
            nowMillis,
        )
    }

    private fun medianMillis(server: ServerHealth): Double? {
        val others =
            poolOf(server)
                .filter { it !== server }
                .mapNotNull { it.firstTokenLatency.millis }
                .sorted()
        return others.getOrNull(others.size / 2)?.takeIf { it > 0 }
    }

    private companion object {
        const val SUSPECT_PROBE_INTERVAL_MILLIS = 400L
        const val DEAD_PROBE_INTERVAL_MILLIS = 1_000L

        /** Prevents a server that fails every second request from flapping. */
        const val MIN_DEAD_MILLIS = 5_000L
        const val RECOVERY_SUCCESSES = 3
        const val MAX_LIST_LAG_MILLIS = 10_000L
        const val SLOW_LATENCY_RATIO = 3.0
        const val RECOVERED_LATENCY_RATIO = 1.5
        const val MIN_SLOW_FRACTION = 0.1
    }
}
