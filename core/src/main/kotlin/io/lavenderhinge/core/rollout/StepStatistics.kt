package io.lavenderhinge.core.rollout

/**
 * Counts that all instances reported for one step of one rollout.
 *
 * Reports are cumulative, so that lost and repeated reports do no harm. Reports of another step are
 * ignored: within a block both versions must have had the same share for all of the time.
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
            // Reports may overtake each other; counts only rise while an instance lives, and a
            // replaced instance has a new id.
            if (!counts.isAtLeast(before)) return
        }
        for ((route, counts) in report.byRoute) {
            val increase = counts - (last[route] ?: RouteCounts())
            pending.merge(route, increase, RouteCounts::plus)
            mutableTotals.merge(route, increase, RouteCounts::plus)
        }
        lastByInstance[report.instanceId] = last + report.byRoute
    }

    /** Counts since the last call, by route. */
    fun drainBlocks(): Map<String, RouteCounts> {
        val blocks = pending.toMap()
        pending.clear()
        return blocks
    }
}
