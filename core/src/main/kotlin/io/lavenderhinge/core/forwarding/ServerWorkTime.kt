package io.lavenderhinge.core.forwarding

import kotlin.math.abs
import kotlin.math.exp
import kotlin.math.ln

/**
 * How long work takes on the machine of one server run, by the figures that the run states.
 *
 * Servers share their machines with others, so that the figure changes many times a second. A
 * figure counts fully at first, and less with its age, until only the average of the run remains.
 * Not thread-safe. Times are milliseconds on the monotonic clock.
 */
internal class ServerWorkTime {
    private class Statement(val millis: Long, val factor: Double)

    private val statements = ArrayDeque<Statement>(MAX_STATEMENTS)
    private var unchangedSinceMillis = 0L
    /** Latency factor of the server when the figure last changed; null if it was not known. */
    private var referenceLatency: Double? = null
    private var deviationSum = 0.0
    private var deviationCount = 0

    /** Average of the stated figures over some seconds; 1 if the run has stated none. */
    var usualFactor = 1.0
        private set

    /** True if the figure has not changed for long and is contradicted by observations. */
    var isStuck = false
        private set

    /** True if the run has stated a figure. */
    val isStated: Boolean
        get() = statements.isNotEmpty()

    /**
     * Records that the run stated [factor] at [statedMillis], unless a newer figure is known.
     * [poolFactor] is the average of the pool and [latencyFactor] that learned of the server; each
     * is null if it is not known.
     */
    fun onStated(
        factor: Double,
        statedMillis: Long,
        poolFactor: Double?,
        latencyFactor: Double?,
    ): Boolean {
        val last = statements.lastOrNull()
        if (last != null && statedMillis <= last.millis) return false
        if (last == null) {
            usualFactor = poolFactor ?: factor
        } else {
            val knownMillis = (statedMillis - last.millis).coerceAtMost(FRESH_MILLIS)
            usualFactor += (last.factor - usualFactor) * (1 - exp(-knownMillis / AVERAGE_MILLIS))
        }
        if (last == null || abs(factor - last.factor) > MIN_CHANGE) {
            onChanged(statedMillis, latencyFactor)
        }
        if (statements.size == MAX_STATEMENTS) statements.removeFirst()
        statements.addLast(Statement(statedMillis, factor))
        return true
    }

    private fun onChanged(statedMillis: Long, latencyFactor: Double?) {
        unchangedSinceMillis = statedMillis
        referenceLatency = latencyFactor
        deviationSum = 0.0
        deviationCount = 0
        isStuck = false
    }

    /** Returns the expected factor for work that takes [durationMillis] from [nowMillis] on. */
    fun factor(nowMillis: Long, durationMillis: Double = 0.0): Double {
        val last = statements.lastOrNull() ?: return usualFactor
        if (isStuck) return usualFactor
        val ageMillis = (nowMillis - last.millis).coerceAtLeast(0)
        return usualFactor + (last.factor - usualFactor) * meanWeight(ageMillis, durationMillis)
    }

    /** Returns the mean factor at [millis], by the figures stated next to each of them. */
    fun meanFactor(vararg millis: Long): Double {
        if (statements.isEmpty() || isStuck) return usualFactor
        return millis.map(::factorAt).average()
    }

    private fun factorAt(millis: Long): Double {
        val nearest = statements.minBy { abs(it.millis - millis) }
        return usualFactor +
            (nearest.factor - usualFactor) * weight(abs(nearest.millis - millis).toDouble())
    }

    // The weight falls linearly, because a change is equally likely at any time of the period.
    private fun weight(ageMillis: Double) = (1 - ageMillis / FRESH_MILLIS).coerceAtLeast(0.0)

    private fun meanWeight(ageMillis: Long, durationMillis: Double): Double {
        val startWeight = weight(ageMillis.toDouble())
        if (durationMillis < 1) return startWeight
        val knownMillis = (FRESH_MILLIS - ageMillis).coerceAtLeast(0).toDouble()
        if (durationMillis >= knownMillis) return startWeight * knownMillis / 2 / durationMillis
        return (startWeight + weight(ageMillis + durationMillis)) / 2
    }

    /**
     * Records a latency [ratio] to that of the pool for the same work. Returns the latency factor
     * that was learned while the figure was still right, if the figure is found to be stuck now.
     */
    fun onObserved(ratio: Double, nowMillis: Long): Double? {
        val reference = referenceLatency ?: return null
        val last = statements.lastOrNull() ?: return null
        if (isStuck) return null
        deviationSum += ln(ratio / (reference * last.factor))
        deviationCount++
        if (nowMillis - unchangedSinceMillis < MIN_STUCK_MILLIS) return null
        if (deviationCount < MIN_STUCK_SAMPLES) return null
        isStuck = abs(deviationSum / deviationCount) > ln(STUCK_RATIO)
        return if (isStuck) reference else null
    }

    /** Forgets everything after a restart of the server. */
    fun clear() {
        statements.clear()
        usualFactor = 1.0
        onChanged(0, null)
    }

    companion object {
        /** A machine's speed is unrelated to a figure that is older. */
        const val FRESH_MILLIS = 600L
        /** Covers the time of the requests whose latency is compared with the figures. */
        private const val MAX_STATEMENTS = 12
        /** Averages over about ten changes of a figure. */
        private const val AVERAGE_MILLIS = 6_000.0
        private const val MIN_CHANGE = 0.005
        /** A figure that changes as usual does so about five times meanwhile. */
        private const val MIN_STUCK_MILLIS = 3_000L
        private const val MIN_STUCK_SAMPLES = 8
        /** Exceeds the differences that queues and caches of a server make on average. */
        private const val STUCK_RATIO = 1.6
    }
}
