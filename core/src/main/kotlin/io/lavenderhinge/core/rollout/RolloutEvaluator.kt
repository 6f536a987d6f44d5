package io.lavenderhinge.core.rollout

/**
 * Aggregates the statistics of all instances and runs the test of the whole rollout.
 *
 * It also runs on instances without the lease. During an outage of the key-value service no
 * instance may raise the share, but any instance may stop the rollout.
 */
internal class RolloutEvaluator(private val factory: SequentialTestFactory) {
    private var rolloutId = ""
    private var stepNumber = -1
    private var stepStatistics = StepStatistics("", -1)

    /** The combined test, or null when no rollout is moving. */
    var combinedEvidence: CombinedEvidence? = null
        private set

    /** Counts of the current step by route. */
    val stepTotals: Map<String, RouteCounts>
        get() = stepStatistics.totals

    /**
     * Switches to the rollout and step of [record]. The test continues across steps if
     * [isController] is true; otherwise it resumes from the evidence in the record.
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

    /** Evaluates the counts reported since the last call. */
    fun evaluateBlocks(nowMillis: Long) {
        val blocks = stepStatistics.drainBlocks()
        for ((route, counts) in blocks) combinedEvidence?.observe(route, counts, nowMillis)
    }
}
