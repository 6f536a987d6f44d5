package io.lavenderhinge.core.forwarding

import io.lavenderhinge.core.limit.TokenBucket

/**
 * The bucket of one workspace, to which the cost of requests that did not run is given back.
 *
 * A token bucket alone does not bound what runs any more once costs are given back: it may have
 * been full between a charge and its return, and would then hold those tokens twice. [windowCost]
 * therefore counts what was taken and not given back in the last [windowMillis], in short slices of
 * time. What is given back by a peer leaves the oldest slices in which it can have been taken,
 * since these count for the shortest time.
 */
internal class QuotaBucket(level: Double, nowMillis: Long, windowMillis: Long) {
    private val bucket = TokenBucket(level, nowMillis)
    private val sliceCount = (windowMillis / SLICE_MILLIS).toInt() + 1
    private val slices = ArrayDeque<Double>().apply { add(0.0) }
    private var sliceNumber = nowMillis / SLICE_MILLIS
    private var capacity = level

    /** Negative after a burst. */
    val level: Double
        get() = bucket.level

    /** What was taken and not given back in the window. */
    var windowCost = 0.0
        private set

    /** True once something has been given back. */
    var hasReturns = false
        private set

    /** Adds the tokens since the last call, up to [capacity], and forgets debt below [floor]. */
    fun refill(perSecond: Double, capacity: Double, nowMillis: Long, floor: Double) {
        this.capacity = capacity
        bucket.refill(perSecond, capacity, nowMillis, floor)
        val number = nowMillis / SLICE_MILLIS
        val passed = (number - sliceNumber).coerceIn(0, sliceCount.toLong())
        repeat(passed.toInt()) { slices.addLast(0.0) }
        while (slices.size > sliceCount) windowCost -= slices.removeFirst()
        sliceNumber = maxOf(sliceNumber, number)
    }

    /** Takes [cost], which need not be there; one below zero corrects what was assumed before. */
    fun take(cost: Double) {
        bucket.take(cost)
        if (cost < 0) return remove(-cost, from = 0)
        slices[slices.lastIndex] += cost
        windowCost += cost
    }

    /** Gives back [cost] that was taken at [takenMillis], or at an unknown time if it is null. */
    fun giveBack(cost: Double, takenMillis: Long?) {
        hasReturns = true
        val age = takenMillis?.let { sliceNumber - it / SLICE_MILLIS } ?: MAX_AGE_SLICES
        remove(cost, from = (slices.lastIndex - age).coerceIn(0, slices.lastIndex.toLong()).toInt())
        bucket.take(-minOf(cost, (capacity - level).coerceAtLeast(0.0)))
    }

    private fun remove(cost: Double, from: Int) {
        var remaining = cost
        var index = from
        while (remaining > 0 && index < slices.size) {
            val part = minOf(remaining, slices[index])
            slices[index] -= part
            windowCost -= part
            remaining -= part
            index++
        }
    }

    companion object {
        /**
         * Longest time between the charge and the return of a cost. Requests that wait for longer
         * than their targets of 0.5 to 2 s are refused by then.
         */
        const val MAX_RETURN_MILLIS = 2_500L
        /**
         * Longest time between two reports of a peer whose returns are counted. Together with
         * [MAX_RETURN_MILLIS], it is well below the usual window of 8 s.
         */
        const val MAX_REPORT_GAP_MILLIS = 1_000L
        private const val SLICE_MILLIS = 100L
        private const val MAX_AGE_SLICES =
            (MAX_RETURN_MILLIS + MAX_REPORT_GAP_MILLIS) / SLICE_MILLIS + 1
    }
}
