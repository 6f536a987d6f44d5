package io.lavenderhinge.experiments.ledger

import io.lavenderhinge.core.ledger.LedgerResult

/** Measurements of one run. */
class LedgerMetrics {
    val violations = ArrayList<String>()
    val latencyMicros = ArrayList<Long>()
    val lateRetryTickets = HashSet<Long>()
    private val outcomes = sortedMapOf<String, Int>()
    private val lateRetryOutcomes = sortedMapOf<String, Int>()
    private val startsBySecond = HashMap<Long, Int>()
    private var elapsedMillis = 0L
    private var recoveryResults = 0
    private var recoveryRefusals = 0

    var writesPerSecond = 0.0
        private set

    var bytesPerSecond = 0.0
        private set

    var readsPerSecond = 0.0
        private set

    private var storedBytes = 0L

    fun recordStart(atMillis: Long) {
        startsBySecond.merge(atMillis / 1000, 1, Int::plus)
    }

    fun recordResult(atMillis: Long, ticket: Long, result: LedgerResult, wasAnswered: Boolean) {
        val name = outcomeName(result)
        countOutcome(name)
        if (ticket in lateRetryTickets && wasAnswered) lateRetryOutcomes.merge(name, 1, Int::plus)
        if (elapsedMillis > 0 && atMillis > elapsedMillis + SETTLE_MILLIS) {
            recoveryResults++
            if (isRefusal(result)) recoveryRefusals++
        }
    }

    fun countOutcome(name: String) {
        outcomes.merge(name, 1, Int::plus)
    }

    fun captureStoreCounters(store: FakeLedgerStore, elapsedMillis: Long) {
        this.elapsedMillis = elapsedMillis
        val seconds = elapsedMillis / 1000.0
        writesPerSecond = store.writeCount / seconds
        bytesPerSecond = store.writtenBytes / seconds
        readsPerSecond = store.readCount / seconds
        storedBytes = store.storedBytes
    }

    /** Checks that requests are served again after all faults have ended. */
    fun checkRecovery() {
        if (recoveryResults == 0) violations += "no request got a result after the faults ended"
        if (recoveryRefusals * 20 > recoveryResults) {
            violations +=
                "$recoveryRefusals of $recoveryResults requests were refused after the faults ended"
        }
    }

    fun latencyMillis(fraction: Double): Double {
        if (latencyMicros.isEmpty()) return 0.0
        val sorted = latencyMicros.sorted()
        return sorted[((sorted.size - 1) * fraction).toInt()] / 1000.0
    }

    fun print(echo: (String) -> Unit) {
        echo("writes per second: %.1f".format(writesPerSecond))
        echo("reads per second: %.1f".format(readsPerSecond))
        echo("bytes written per second: %.0f".format(bytesPerSecond))
        echo("bytes stored: $storedBytes")
        echo(
            "latency added: p50 %.1f ms, p99 %.1f ms"
                .format(latencyMillis(0.5), latencyMillis(0.99))
        )
        val total = outcomes.values.sum()
        for ((name, count) in outcomes) {
            echo("outcome %-28s %8d  %.3f%%".format(name, count, 100.0 * count / total))
        }
        for ((name, count) in lateRetryOutcomes) {
            echo("late retry of an answered key: %-28s %8d".format(name, count))
        }
        violations.take(20).forEach { echo("VIOLATION $it") }
        echo("violations: ${violations.size}")
    }

    private fun outcomeName(result: LedgerResult): String =
        when (result) {
            is LedgerResult.Answered -> "answered"
            is LedgerResult.Stored -> "stored"
            is LedgerResult.NotRun -> "not-run ${result.reason}, ${result.detail}"
            is LedgerResult.Unknown -> "unknown ${result.reason}"
            LedgerResult.Mismatch -> "mismatch"
            LedgerResult.TooOld -> "too old"
        }

    private fun isRefusal(result: LedgerResult): Boolean =
        result is LedgerResult.NotRun &&
            result.reason != io.lavenderhinge.core.ledger.NotRunReason.NEVER_SENT

    private companion object {
        /** Time after the last fault during which requests may still be refused. */
        const val SETTLE_MILLIS = 12_000L
    }
}
