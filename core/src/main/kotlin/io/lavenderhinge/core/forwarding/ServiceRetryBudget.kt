package io.lavenderhinge.core.forwarding

/**
 * Bounds how many sends beyond the first of each request a service gets from this instance.
 *
 * The allowance is [ratio] of the requests of the last [WINDOW_MILLIS] plus an equal part of
 * [fleetSlack] for each instance, so that the sum over the fleet holds without communication.
 */
class ServiceRetryBudget(private val ratio: Double, private val fleetSlack: Double) {
    private val requests = HashMap<String, ArrayDeque<Long>>()
    private val retries = HashMap<String, ArrayDeque<Long>>()

    /** Counts a request that was sent for the first time. */
    fun onRequest(service: String, nowMillis: Long) =
        recent(requests, service, nowMillis).addLast(nowMillis)

    /** Takes one repeat; false when the budget of [service] is used up. */
    fun tryRetry(service: String, instanceCount: Int, nowMillis: Long): Boolean {
        if (!allowsRetry(service, instanceCount, nowMillis)) return false
        recent(retries, service, nowMillis).addLast(nowMillis)
        return true
    }

    /** True when the budget of [service] has a repeat left. */
    fun allowsRetry(service: String, instanceCount: Int, nowMillis: Long): Boolean {
        val allowance =
            ratio * recent(requests, service, nowMillis).size +
                fleetSlack * USABLE_SLACK_FRACTION / instanceCount.coerceAtLeast(1)
        return recent(retries, service, nowMillis).size < allowance
    }

    private fun recent(
        times: MutableMap<String, ArrayDeque<Long>>,
        service: String,
        nowMillis: Long,
    ): ArrayDeque<Long> {
        val window = times.getOrPut(service) { ArrayDeque() }
        while (window.isNotEmpty() && nowMillis - window.first() > WINDOW_MILLIS) {
            window.removeFirst()
        }
        return window
    }

    private companion object {
        const val WINDOW_MILLIS = 10_000L
        /** The rest absorbs instances that started or were replaced within the window. */
        const val USABLE_SLACK_FRACTION = 0.5
    }
}
