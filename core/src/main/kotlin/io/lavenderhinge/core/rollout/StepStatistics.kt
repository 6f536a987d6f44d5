package io.lavenderhinge.core.rollout

/**
 * Aggregated counts of all instances for one step of one rollout.
 *
 * Reports are cumulative, so lost and repeated reports do not distort the counts. Reports of other
 * steps are ignored, because the test requires a constant traffic share within a block.
 */
internal class StepStatistics(private val rolloutId: String, private val step: Int) {
    private val lastByInstance = HashMap<String, Map<String, RouteCounts>>()
    private val pending = HashMap<String, RouteCounts>()

    /** Totals of the step by route. */
    val totals: Map<String, RouteCounts>
        get() = mutableTotals

    private val mutableTotals = HashMap<String, RouteCounts>()

    fun add(report: StatsReport) {
        if (report.rolloutId != rolloutId || report.step != step) return
        val last = lastByInstance[report.instanceId].orEmpty()
        for ((route, counts) in report.byRoute) {
            val before = last[route] ?: RouteCounts()
            // Reports can arrive out of order. Counts never decrease while an instance runs, and a
            // restarted instance has a new id, so a lower count means an outdated report.
            if (!counts.isAtLeast(before)) return
        }
        for ((route, counts) in report.byRoute) {
            val increase = counts - (last[route] ?: RouteCounts())
            pending.merge(route, increase, RouteCounts::plus)
            mutableTotals.merge(route, increase, RouteCounts::plus)
        }
        lastByInstance[report.instanceId] = last + report.byRoute
    }

    /** Returns and clears the counts since the last call, by route. */
    fun drainBlocks(): Map<String, RouteCounts> {
        val blocks = pending.toMap()
        pending.clear()
        return blocks
    }
}
