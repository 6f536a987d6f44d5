package io.lavenderhinge.core.rollout

/** What a step waits for before the share rises. */
internal object StepGate {
    /** Evidence of 20 to 1 holds the step: more data decides, at the share reached so far. */
    private const val HOLD_LOG_EVIDENCE = 2.995732273553991

    fun waitReason(record: RolloutRecord, view: MoverView, nowMillis: Long): String? {
        val steps = RolloutSteps(record.plan.unprovedShareFraction)
        val pool = view.pool
        if (pool == null || pool.routes.isEmpty())
            return "waits for traffic: no request was counted"
        val thin = SampleGate.thinRoutes(pool.routes, view.inStep)
        if (thin.isNotEmpty()) return thinReason(thin)
        if (pool.logEvidence >= HOLD_LOG_EVIDENCE) {
            return "holds the share because of evidence against the new version: ${view.strongest}"
        }
        capacityShortage(steps.shares[record.step + 1], record, view)?.let {
            return it
        }
        val since = record.stepSinceMillis
        val until = since + steps.stayMillis(record.step, since, record.plan.deadlineMillis)
        return if (nowMillis < until) "next step not before ${Statements.time(until)}" else null
    }

    private fun thinReason(thin: List<ThinRoute>): String {
        val routes =
            thin.joinToString { "${it.route} (new ${it.newRequests}, old ${it.oldRequests})" }
        return "waits for ${SampleGate.MIN_SAMPLES} requests of each version on each route, " +
            "too few on: $routes"
    }

    fun capacityShortage(share: Double, record: RolloutRecord, view: MoverView): String? {
        val enough = view.readyServers > 0 && view.readyServers >= share * view.totalServers
        if (enough) return null
        return "waits for servers: ${view.readyServers} of ${view.totalServers} have version " +
            "${record.plan.toVersion}, too few for a share of ${Statements.percent(share)}"
    }
}
