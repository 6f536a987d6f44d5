package io.lavenderhinge.core.forwarding

/** Sums the load reports of the other instances; a report that is not renewed lapses. */
internal class PeerLoads {
    private class Known(val report: LoadReport, val heardMillis: Long)

    private val reports = HashMap<String, Known>()
    private val inFlight = HashMap<String, Int>()
    private val pendingTokens = HashMap<String, Double>()
    private val waiting = HashMap<QueueKey, Int>()

    fun inFlight(serverId: String): Int = inFlight[serverId] ?: 0

    fun pendingTokens(serverId: String): Double = pendingTokens[serverId] ?: 0.0

    /**
     * Requests that wait at peers for [service] with a priority of [maxPriority] or more urgent.
     */
    fun waiting(service: String, maxPriority: Int): Int {
        if (waiting.isEmpty()) return 0
        return waiting.entries.sumOf { (key, count) ->
            if (key.service == service && key.priority <= maxPriority) count else 0
        }
    }

    fun update(peer: String, report: LoadReport, nowMillis: Long) {
        reports[peer] = Known(report, nowMillis)
        recount()
    }

    /** Drops lapsed reports; true when there were any. */
    fun expire(nowMillis: Long): Boolean {
        val lapsed = reports.values.removeIf { nowMillis - it.heardMillis > LAPSE_MILLIS }
        if (lapsed) recount()
        return lapsed
    }

    private fun recount() {
        inFlight.clear()
        pendingTokens.clear()
        waiting.clear()
        reports.values.forEach { known ->
            known.report.servers.forEach { (server, use) ->
                inFlight.merge(server, use.inFlight, Int::plus)
                pendingTokens.merge(server, use.pendingTokens, Double::plus)
            }
            known.report.waiting.forEach { (key, count) -> waiting.merge(key, count, Int::plus) }
        }
    }

    private companion object {
        /** Several reports; slots of an instance that died are free again after it. */
        const val LAPSE_MILLIS = 1_200L
    }
}
