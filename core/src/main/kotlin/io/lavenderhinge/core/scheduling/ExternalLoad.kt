package io.lavenderhinge.core.scheduling

import io.lavenderhinge.core.port.LoadReport

/**
 * Load on the backend server that this home did not grant. It comes from another home or from a
 * caller that bypasses the scheduler.
 *
 * Load reports lag by an uncertain amount. They are compared with the maximum load granted by this
 * home in the last [WINDOW_MILLIS], so that requests that have just finished do not count as
 * external.
 */
internal class ExternalLoad {
    private data class WindowMaximum(val bucket: Long, val sequences: Int)

    private val maxima = ArrayDeque<WindowMaximum>()
    private var reportedAtMillis = Long.MIN_VALUE

    private var externalSequences = 0

    /** Records the load granted by this home from [nowMillis] on. */
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

    /** External requests in the last load report, or zero if the report has expired. */
    fun sequences(nowMillis: Long): Int =
        if (externalSequences == 0 || nowMillis - reportedAtMillis > EXPIRY_MILLIS) 0
        else externalSequences

    private companion object {
        const val BUCKET_MILLIS = 250L
        const val WINDOW_MILLIS = 3_000L
        const val EXPIRY_MILLIS = 5_000L
    }
}
