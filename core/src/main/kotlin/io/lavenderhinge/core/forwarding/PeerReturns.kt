package io.lavenderhinge.core.forwarding

/**
 * The cost that one run of a peer has given back, as far as it was charged here before.
 *
 * Totals only grow, so that a repeated or late report changes nothing. Returns do not count where
 * it is not certain that their charges are in the window of the [QuotaBucket]: after a gap in the
 * reports, and for some time after the first report of a peer that had been running for long, whose
 * earlier charges were not charged here. What does not count stays charged.
 */
internal class PeerReturns(
    private val firstReportMillis: Long,
    /** True if all that the peer has charged since its start was charged here. */
    private val isComplete: Boolean,
) {
    private val known = HashMap<String, Double>()
    private var lastReportMillis = firstReportMillis
    private var wasCounting = isComplete

    /**
     * Returns the cost of each workspace in [returned] that is new and counts. What was given back
     * cannot exceed what was charged by [totals].
     */
    fun onReport(
        returned: Map<String, Double>,
        totals: Map<String, Double>,
        nowMillis: Long,
    ): Map<String, Double> {
        val added = HashMap<String, Double>()
        returned.forEach { (workspace, reported) ->
            val total = minOf(reported, totals[workspace] ?: 0.0)
            val previous = known[workspace] ?: 0.0
            // Not a number is not greater than anything.
            if (!(total > previous)) return@forEach
            known[workspace] = total
            added[workspace] = total - previous
        }
        return if (isCounted(nowMillis)) added else emptyMap()
    }

    // The first report after the time that does not count contains returns of that time.
    private fun isCounted(nowMillis: Long): Boolean {
        val hasGap = nowMillis - lastReportMillis > QuotaBucket.MAX_REPORT_GAP_MILLIS
        lastReportMillis = nowMillis
        val isCounting =
            isComplete ||
                nowMillis - firstReportMillis >
                    QuotaBucket.MAX_RETURN_MILLIS + QuotaBucket.MAX_REPORT_GAP_MILLIS
        return (wasCounting && !hasGap).also { wasCounting = isCounting }
    }
}
