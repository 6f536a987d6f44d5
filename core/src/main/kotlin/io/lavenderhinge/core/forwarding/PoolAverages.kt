package io.lavenderhinge.core.forwarding

/**
 * Averages over the servers of one pool, [records]. They are computed on the first use after a
 * change, because each decision needs them for every server that it compares.
 */
internal class PoolAverages(private val records: Collection<ServerRecord>) {
    private class Values(
        val knownHoldMillis: Double?,
        val latencyFactor: Double,
        val failureFractionSum: Double,
    )

    private var values: Values? = null

    /** Average time that a request occupies its slot; null if no request has ended. */
    val knownHoldMillis: Double?
        get() = current().knownHoldMillis

    /** Average latency of the servers that have answered, relative to that of the model. */
    val latencyFactor: Double
        get() = current().latencyFactor

    /** Sum of the shares of failed answers. */
    val failureFractionSum: Double
        get() = current().failureFractionSum

    /** Has to be called after each change of the servers or of their statistics. */
    fun onChange() {
        values = null
    }

    private fun current(): Values = values ?: compute().also { values = it }

    private fun compute(): Values {
        val known = records.filter { it.holdMillis > 0 }
        return Values(
            knownHoldMillis =
                if (known.isEmpty()) null
                else known.map { it.holdMillis * it.workTime.usualFactor }.average(),
            latencyFactor =
                if (known.isEmpty()) 1.0
                else known.map { it.latencyFactor * it.workTime.usualFactor }.average(),
            failureFractionSum = records.sumOf { it.failureRate.fraction(expected = 0.0) },
        )
    }
}
