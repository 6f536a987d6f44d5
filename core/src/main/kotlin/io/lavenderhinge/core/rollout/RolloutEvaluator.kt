package io.lavenderhinge.core.rollout

/**
 * Pools the reports of all instances and runs the test over the whole rollout.
 *
 * It also runs on an instance whose lease lapsed during an outage of the key-value service: it may
 * no longer raise the share then, but a stop is always allowed.
 */
internal class RolloutEvaluator(private val factory: SequentialTestFactory) {
    private var rolloutId = ""
    private var stepNumber = -1
    private var stepStatistics = StepStatistics("", -1)

    /** The combined test; null when no rollout is moving. */
    var combinedEvidence: CombinedEvidence? = null
        private set

    /** Counts of the present step by route. */
    val stepTotals: Map<String, RouteCounts>
        get() = stepStatistics.totals

    /**
     * Follows [record]; [isController] is true when this mover wrote the change and its test goes
     * on.
     */
    fun follow(record: RolloutRecord, isController: Boolean) {
        if (record.phase != RolloutPhase.MOVING) {
            combinedEvidence = null
            rolloutId = ""
            return
        }
        val plan = record.plan
        if (plan.rolloutId == rolloutId && record.stepNumber == stepNumber) return
        val continuesTest = isController && plan.rolloutId == rolloutId && combinedEvidence != null
        if (!continuesTest) {
            val window = TestWindow(record.startedAtMillis, plan.deadlineMillis)
            combinedEvidence = CombinedEvidence(window, factory, record.logEvidence)
        }
        rolloutId = plan.rolloutId
        stepNumber = record.stepNumber
        stepStatistics = StepStatistics(rolloutId, stepNumber)
    }

    fun add(report: StatsReport) = stepStatistics.add(report)

    /** Scores what was reported since the last call. */
    fun evaluateBlocks(nowMillis: Long) {
        val blocks = stepStatistics.drainBlocks()
        for ((route, counts) in blocks) combinedEvidence?.observe(route, counts, nowMillis)
    }
}
