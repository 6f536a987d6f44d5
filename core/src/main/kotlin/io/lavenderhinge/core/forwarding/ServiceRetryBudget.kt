package io.lavenderhinge.core.forwarding

/**
 * Limits the number of retries that this instance sends to each service.
 *
 * The budget is [ratio] times the number of requests within the last [WINDOW_MILLIS] plus an equal
 * share of [fleetSlack] for each instance, so that the fleet stays within its total without
 * coordination.
 */
class ServiceRetryBudget(private val ratio: Double, private val fleetSlack: Double) {
    private val requests = HashMap<String, ArrayDeque<Long>>()
    private val retries = HashMap<String, ArrayDeque<Long>>()

    /** Counts the first attempt of a request. */
    fun onRequest(service: String, nowMillis: Long) =
        recent(requests, service, nowMillis).addLast(nowMillis)

    /** Consumes one retry; returns false if the budget of [service] is exhausted. */
    fun tryRetry(service: String, instanceCount: Int, nowMillis: Long): Boolean {
        if (!allowsRetry(service, instanceCount, nowMillis)) return false
        recent(retries, service, nowMillis).addLast(nowMillis)
        return true
    }

    /** Returns true if the budget of [service] allows another retry. */
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
        /** The rest is a reserve for instances that started or were replaced within the window. */
        const val USABLE_SLACK_FRACTION = 0.5
    }
}
