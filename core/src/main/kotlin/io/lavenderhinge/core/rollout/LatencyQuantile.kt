package io.lavenderhinge.core.rollout

import kotlin.math.ln

/**
 * Running 95th percentile of the old version's latency on one route of one instance.
 *
 * Uses a decaying histogram with buckets 8% apart, from 1 ms to about 19 minutes. All counts are
 * halved after every [HALVE_AFTER] samples, so that the percentile follows load changes over the
 * day.
 */
internal class LatencyQuantile(private val minSamples: Int = MIN_SAMPLES) {
    private val buckets = FloatArray(BUCKETS)
    private var total = 0f
    private var added = 0

    /** The percentile, or null until [minSamples] samples are available. */
    val thresholdMillis: Long?
        get() = if (added >= minSamples) percentile() else null

    /** Adds a latency of the old version. */
    fun add(latencyMillis: Long) {
        buckets[bucketOf(latencyMillis)] += 1f
        total += 1f
        added++
        if (added % HALVE_AFTER == 0) halve()
    }

    private fun halve() {
        for (i in buckets.indices) buckets[i] /= 2
        total /= 2
    }

    private fun percentile(): Long {
        var above = 0f
        for (i in buckets.indices.reversed()) {
            above += buckets[i]
            if (above > total * TAIL_FRACTION) return upperEdge(i)
        }
        return upperEdge(0)
    }

    private fun bucketOf(latencyMillis: Long): Int =
        (ln(latencyMillis.coerceAtLeast(1).toDouble()) / LOG_RATIO)
            .toInt()
            .coerceAtMost(BUCKETS - 1)

    private fun upperEdge(bucket: Int): Long = Math.exp((bucket + 1) * LOG_RATIO).toLong()

    private companion object {
        const val BUCKETS = 182
        const val HALVE_AFTER = 2_000
        const val MIN_SAMPLES = 40
        const val TAIL_FRACTION = 0.05f
        val LOG_RATIO = ln(1.08)
    }
}
