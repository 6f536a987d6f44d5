package io.lavenderhinge.core.health

import kotlin.math.max

/** Exponentially smoothed time to first token of one backend server. */
internal class FirstTokenLatency {
    private var samples = 0
    private var smoothedMillis = 0.0

    /** The smoothed time, or null if there are fewer than [MIN_SAMPLES] samples. */
    val millis: Double?
        get() = if (samples >= MIN_SAMPLES) smoothedMillis else null

    fun add(firstTokenMillis: Long) {
        samples++
        val weight = max(1.0 / samples, SMOOTHING)
        smoothedMillis += weight * (firstTokenMillis - smoothedMillis)
    }

    fun reset() {
        samples = 0
        smoothedMillis = 0.0
    }

    private companion object {
        const val MIN_SAMPLES = 5
        const val SMOOTHING = 0.1
    }
}
