package io.lavenderhinge.core.rollout

/** Checks the conditions for raising the traffic share. */
internal object StepGate {
    /** Evidence of 20 to 1 (`ln(20)`) holds the share until more requests decide. */
    private const val HOLD_LOG_EVIDENCE = 2.995732273553991

    fun waitReason(record: RolloutRecord, input: DecisionInput, nowMillis: Long): String? {
        val steps = RolloutSteps(record.plan.unprovedShareFraction)
        val evidence = input.combinedEvidence
        if (evidence == null || evidence.routes.isEmpty())
            return "waits for traffic: no request was counted"
        val undersampled = SampleGate.undersampledRoutes(evidence.routes, input.stepTotals)
        if (undersampled.isNotEmpty()) return sampleShortage(undersampled)
        if (evidence.logEvidence >= HOLD_LOG_EVIDENCE) {
            return "holds the share because of evidence against the new version: ${input.strongest}"
        }
        serverShortage(steps.shares[record.step + 1], record, input)?.let {
            return it
        }
        val since = record.stepSinceMillis
        val earliestMillis =
            since + steps.minStepMillis(record.step, since, record.plan.deadlineMillis)
        return if (nowMillis < earliestMillis)
            "next step not before ${Statements.timestamp(earliestMillis)}"
        else null
    }

    private fun sampleShortage(undersampled: List<UndersampledRoute>): String {
        val routes =
            undersampled.joinToString {
                "${it.route} (new ${it.newRequests}, old ${it.oldRequests})"
            }
        return "waits for ${SampleGate.MIN_SAMPLES} requests of each version on each route, " +
            "too few on: $routes"
    }

    fun serverShortage(share: Double, record: RolloutRecord, input: DecisionInput): String? {
        val sufficient =
            input.readyServers > 0 && input.readyServers >= share * input.requiredServers
        if (sufficient) return null
        return "waits for servers: ${input.readyServers} of ${input.requiredServers} have " +
            "version ${record.plan.toVersion}, too few for a share of ${Statements.percent(share)}"
    }
}
