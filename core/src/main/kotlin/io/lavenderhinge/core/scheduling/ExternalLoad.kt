package io.lavenderhinge.core.scheduling

import io.lavenderhinge.core.port.LoadReport

/**
 * Load of the backend server that this home did not grant: another home, or a caller that bypasses
 * the scheduler.
 *
 * A report lags, and its age is uncertain. It is therefore compared with the largest own load of
 * the last [WINDOW_MILLIS]; own requests that just ended are not mistaken for foreign ones.
 */
internal class ExternalLoad {
    private data class WindowMaximum(val bucket: Long, val sequences: Int)

    private val maxima = ArrayDeque<WindowMaximum>()
    private var reportedAtMillis = Long.MIN_VALUE

    private var externalSequences = 0

    /** Records the own load from [nowMillis] on. */
    fun recordOwnLoad(sequences: Int, nowMillis: Long) {
        val bucket = nowMillis / BUCKET_MILLIS
        val last = maxima.lastOrNull()
        if (last != null && last.bucket == bucket) {
            if (sequences <= last.sequences) return
            maxima.removeLast()
        }
        maxima.addLast(WindowMaximum(bucket, sequences))
        while (maxima.size > 1 && maxima.first().bucket < bucket - WINDOW_MILLIS / BUCKET_MILLIS) {
            maxima.removeFirst()
        }
    }

    fun onLoadReported(report: LoadReport, nowMillis: Long) {
        val ownMaximum = maxima.maxOfOrNull { it.sequences } ?: 0
        externalSequences = (report.running + report.waiting - ownMaximum).coerceAtLeast(0)
        reportedAtMillis = nowMillis
    }

    /** Foreign requests by the last report, or zero when it is too old to act on. */
    fun sequences(nowMillis: Long): Int =
        if (externalSequences == 0 || nowMillis - reportedAtMillis > EXPIRY_MILLIS) 0
        else externalSequences

    private companion object {
        const val BUCKET_MILLIS = 250L
        const val WINDOW_MILLIS = 3_000L
        const val EXPIRY_MILLIS = 5_000L
    }
}
