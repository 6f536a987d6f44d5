package io.lavenderhinge.core.rollout

/**
 * Pools the reports of all instances and runs the test over the whole rollout.
 *
 * It also runs on an instance whose lease lapsed during an outage of the key-value service: it may
 * no longer raise the share then, but a stop is always allowed.
 */
internal class MoverJudge(private val factory: SequentialTestFactory) {
    private var rolloutId = ""
    private var stepNumber = -1
    private var inStep = StepStatistics("", -1)

    /** The combined test; null when no rollout is moving. */
    var pool: EvidencePool? = null
        private set

    /** Counts of the present step by route. */
    val totals: Map<String, RouteCounts>
        get() = inStep.totals

    /** Follows [record]; [own] is true when this mover wrote the change and its test goes on. */
    fun follow(record: RolloutRecord, own: Boolean) {
        if (record.phase != RolloutPhase.MOVING) {
            pool = null
            rolloutId = ""
            return
        }
        val plan = record.plan
        if (plan.rolloutId == rolloutId && record.stepNumber == stepNumber) return
        val goesOn = own && plan.rolloutId == rolloutId && pool != null
        if (!goesOn) {
            val window = TestWindow(record.startedAtMillis, plan.deadlineMillis)
            pool = EvidencePool(window, factory, record.logEvidence)
        }
        rolloutId = plan.rolloutId
        stepNumber = record.stepNumber
        inStep = StepStatistics(rolloutId, stepNumber)
    }

    fun add(report: StatsReport) = inStep.add(report)

    /** Scores what was reported since the last call. */
    fun closeBlocks(nowMillis: Long) {
        val blocks = inStep.takeBlocks()
        for ((route, counts) in blocks) pool?.observe(route, counts, nowMillis)
    }
}
