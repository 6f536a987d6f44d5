package io.lavenderhinge.experiments.settings

/** Collects measured values, usually durations in milliseconds. */
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

    /** Returns the [fraction] quantile, or null without samples. */
    fun quantile(fraction: Double): Long? {
        if (values.isEmpty()) return null
        val sorted = values.sorted()
        return sorted[((sorted.size - 1) * fraction).toInt()]
    }

    fun max(): Long? = values.maxOrNull()

    /** Formats the samples as `50th / 99th percentile / maximum (count)`. */
    override fun toString(): String =
        if (values.isEmpty()) "none"
        else "${quantile(0.5)} / ${quantile(0.99)} / ${max()} ms ($count)"
}
