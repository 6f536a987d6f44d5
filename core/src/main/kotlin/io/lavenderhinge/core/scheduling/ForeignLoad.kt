package io.lavenderhinge.core.scheduling

import io.lavenderhinge.core.port.LoadReport

/**
 * Load of the backend server that this home did not grant: another home, or a caller that bypasses
 * the scheduler.
 *
 * A report lags, and its age is uncertain. It is therefore compared with the largest own load of
 * the last [WINDOW_MILLIS]; own requests that just ended are not mistaken for foreign ones.
 */
internal class ForeignLoad {
    private data class Maximum(val slot: Long, val sequences: Int)

    private val maxima = ArrayDeque<Maximum>()
    private var reportedAtMillis = Long.MIN_VALUE

    private var reported = 0

    /** Records the own load from [nowMillis] on. */
    fun ownLoad(sequences: Int, nowMillis: Long) {
        val slot = nowMillis / SLOT_MILLIS
        val last = maxima.lastOrNull()
        if (last != null && last.slot == slot) {
            if (sequences <= last.sequences) return
            maxima.removeLast()
        }
        maxima.addLast(Maximum(slot, sequences))
        while (maxima.size > 1 && maxima.first().slot < slot - WINDOW_MILLIS / SLOT_MILLIS) {
            maxima.removeFirst()
        }
    }

    fun reported(report: LoadReport, nowMillis: Long) {
        val ownMaximum = maxima.maxOfOrNull { it.sequences } ?: 0
        reported = (report.running + report.waiting - ownMaximum).coerceAtLeast(0)
        reportedAtMillis = nowMillis
    }

    /** Foreign requests by the last report, or zero when it is too old to act on. */
    fun sequences(nowMillis: Long): Int =
        if (reported == 0 || nowMillis - reportedAtMillis > EXPIRY_MILLIS) 0 else reported

    private companion object {
        const val SLOT_MILLIS = 250L
        const val WINDOW_MILLIS = 3_000L
        const val EXPIRY_MILLIS = 5_000L
    }
}
