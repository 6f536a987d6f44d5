package io.lavenderhinge.core.routing

/**
 * Limits the retries of a workspace to a tenth of its requests over 10 s, but at least one, so that
 * retries do not multiply the load on an overloaded pool.
 */
internal class RetryBudget {
    private class WindowCounts {
        val requests = IntArray(WINDOW_SECONDS)
        val retries = IntArray(WINDOW_SECONDS)
        var second = 0L

        fun advance(nowSecond: Long) {
            val steps = (nowSecond - second).coerceIn(0, WINDOW_SECONDS.toLong()).toInt()
            for (step in 1..steps) {
                val bucket = ((nowSecond - steps + step) % WINDOW_SECONDS).toInt()
                requests[bucket] = 0
                retries[bucket] = 0
            }
            second = maxOf(second, nowSecond)
        }
    }

    private val byWorkspace = HashMap<String, WindowCounts>()

    fun recordRequest(workspace: String, nowMillis: Long) {
        val counts = counts(workspace, nowMillis)
        counts.requests[bucket(nowMillis)]++
    }

    /** Takes one retry from the budget. Returns false if the budget is exhausted. */
    fun tryAcquire(workspace: String, nowMillis: Long): Boolean {
        val counts = counts(workspace, nowMillis)
        val allowed = maxOf(MIN_RETRIES, counts.requests.sum() / REQUESTS_PER_RETRY)
        if (counts.retries.sum() >= allowed) return false
        counts.retries[bucket(nowMillis)]++
        return true
    }

    /** Removes workspaces without requests in the window. */
    fun removeIdle(nowMillis: Long) {
        val oldest = nowMillis / MILLIS_PER_SECOND - WINDOW_SECONDS
        byWorkspace.values.removeIf { it.second < oldest }
    }

    private fun counts(workspace: String, nowMillis: Long): WindowCounts =
        byWorkspace
            .getOrPut(workspace) { WindowCounts() }
            .also { it.advance(nowMillis / MILLIS_PER_SECOND) }

    private fun bucket(nowMillis: Long) = (nowMillis / MILLIS_PER_SECOND % WINDOW_SECONDS).toInt()

    private companion object {
        const val WINDOW_SECONDS = 10
        const val MILLIS_PER_SECOND = 1_000L
        const val REQUESTS_PER_RETRY = 10
        const val MIN_RETRIES = 1
    }
}
