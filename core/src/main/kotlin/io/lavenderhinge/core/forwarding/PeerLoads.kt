package io.lavenderhinge.core.forwarding

/** Sums the load reports of the other instances; a report that is not renewed lapses. */
internal class PeerLoads {
    private class Known(val report: LoadReport, val heardMillis: Long)

    private val reports = HashMap<String, Known>()
    private val inFlight = HashMap<String, Int>()
    private val pendingTokens = HashMap<String, Double>()

    fun inFlight(serverId: String): Int = inFlight[serverId] ?: 0

    fun pendingTokens(serverId: String): Double = pendingTokens[serverId] ?: 0.0

    /**
     * Requests that wait at peers for [service] with a priority of [maxPriority] or more urgent.
     */
    fun waiting(service: String, maxPriority: Int): Int =
        reports.values.sumOf { known ->
            known.report.waiting.entries.sumOf { (key, queue) ->
                if (key.service == service && key.priority <= maxPriority) queue.count else 0
            }
        }

    /**
     * Requests at peers that go before [ask]: all that are more urgent, and of each peer with the
     * same priority its head if that has waited clearly longer. Without the latter an instance that
     * has slots passes them on among its own requests, and those of the others starve.
     */
    fun claims(ask: DispatchAsk, nowMillis: Long): Int =
        waiting(ask.service, ask.priority - 1) +
            reports.values.count { known ->
                val head = known.report.waiting[QueueKey(ask.service, ask.priority)]
                head != null && goesBefore(head, known.heardMillis, ask, nowMillis)
            }

    private fun goesBefore(
        head: QueueState,
        heardMillis: Long,
        ask: DispatchAsk,
        nowMillis: Long,
    ): Boolean {
        val isLate = ask.targetMillis <= nowMillis
        if (head.isHeadLate != isLate) return isLate
        val headWaitMillis = head.headWaitMillis + nowMillis - heardMillis
        return headWaitMillis > nowMillis - ask.arrivedMillis + CLEARLY_LONGER_MILLIS
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
        reports.values.forEach { known ->
            known.report.servers.forEach { (server, use) ->
                inFlight.merge(server, use.inFlight, Int::plus)
                pendingTokens.merge(server, use.pendingTokens, Double::plus)
            }
        }
    }

    private companion object {
        /** A slot that is passed on idles for about the time between two reports. */
        const val CLEARLY_LONGER_MILLIS = 80L
        /** Several reports; slots of an instance that died are free again after it. */
        const val LAPSE_MILLIS = 1_200L
    }
}
