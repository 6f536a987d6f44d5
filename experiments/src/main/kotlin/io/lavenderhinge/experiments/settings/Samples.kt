package io.lavenderhinge.experiments.settings

/** Durations in milliseconds. */
internal class Samples {
    private val values = mutableListOf<Long>()

    val count: Int
        get() = values.size

    fun add(millis: Long) {
        values += millis
    }

    fun addAll(other: Samples) {
        values += other.values
    }

    /** The value below which [fraction] of the samples lie; null without samples. */
    fun quantile(fraction: Double): Long? {
        if (values.isEmpty()) return null
        val sorted = values.sorted()
        return sorted[((sorted.size - 1) * fraction).toInt()]
    }

    fun max(): Long? = values.maxOrNull()

    /** `50th / 99th percentile / largest (count)`. */
    override fun toString(): String =
        if (values.isEmpty()) "none"
        else "${quantile(0.5)} / ${quantile(0.99)} / ${max()} ms ($count)"
}
