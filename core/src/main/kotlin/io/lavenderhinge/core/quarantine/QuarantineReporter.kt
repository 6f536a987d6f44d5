package io.lavenderhinge.core.quarantine

import io.lavenderhinge.core.LruMap
import io.lavenderhinge.core.ServerRun

/**
 * Selects what an instance reports to its peers. New observations are reported soon, old ones
 * repeatedly for a while, because reports may be lost.
 */
internal class QuarantineReporter(private val evidence: CrashEvidence) {
    private val cleared = LruMap<SuspectKey, Long>(MAX_REPORTED)
    private val alive = LruMap<ServerRun, Long>(MAX_REPORTED)
    private var reportedMillis: Long? = null
    private var hasNews = false

    /** Records that the next report should be sent soon. */
    fun onNews() {
        hasNews = true
    }

    /** Records that a server answered the suspected [key] at [answeredMillis]. */
    fun onCleared(key: SuspectKey, answeredMillis: Long) {
        if (cleared.put(key, answeredMillis) == null) hasNews = true
    }

    /** Records that [run] responds although it is considered crashed. */
    fun onAlive(run: ServerRun, nowMillis: Long) {
        alive[run] = nowMillis
        hasNews = true
    }

    /** Returns true if this instance has seen that [run] responds after its alleged crash. */
    fun isAlive(run: ServerRun): Boolean = run in alive

    /** Returns the report, or null if nothing has to be reported now. */
    fun report(quarantined: List<SuspectReport>, nowMillis: Long): QuarantineReport? {
        val pauseMillis = if (hasNews) NEWS_PAUSE_MILLIS else REPEAT_PAUSE_MILLIS
        val lastMillis = reportedMillis
        if (lastMillis != null && nowMillis - lastMillis < pauseMillis) return null
        hasNews = false
        reportedMillis = nowMillis
        alive.values.removeIf { nowMillis - it > REPEAT_MILLIS }
        cleared.values.removeIf { nowMillis - it > REPEAT_MILLIS }
        val report =
            QuarantineReport(
                crashes(nowMillis),
                cleared.map { SuspectReport(it.key, nowMillis - it.value) },
                quarantined.takeLast(MAX_REPORTED),
                alive.keys.toList(),
            )
        return report.takeIf { it != QuarantineReport() }
    }

    private fun crashes(nowMillis: Long): List<CrashReport> =
        evidence.crashes
            .filter { it.ownSuspects.isNotEmpty() }
            .filter { nowMillis - it.crashedMillis < REPEAT_MILLIS }
            .takeLast(MAX_REPORTED)
            .map { crash ->
                val suspects = crash.ownSuspects.sortedBy { crash.suspects.getValue(it) }
                CrashReport(
                    crash.run,
                    crash.service,
                    nowMillis - crash.crashedMillis,
                    suspects.takeLast(MAX_REPORTED),
                )
            }

    private companion object {
        /** Bounds each list of a report, so that it fits into a datagram. */
        const val MAX_REPORTED = 16
        /** A crash takes several instances by surprise, and each has something to report. */
        const val NEWS_PAUSE_MILLIS = 50L
        const val REPEAT_PAUSE_MILLIS = 1_000L
        const val REPEAT_MILLIS = 60_000L
    }
}
