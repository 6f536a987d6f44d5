package io.lavenderhinge.standins

import java.util.concurrent.ConcurrentHashMap

/** One execution of a request by a stand-in. */
data class Run(
    val requestId: String,
    val key: String?,
    val operation: String,
    val finished: Boolean,
)

/** Log of all runs; tests compare it with the responses that callers received. */
class RunLog {
    private val runs = mutableListOf<Run>()
    private val latestIndexes = ConcurrentHashMap<String, Int>()

    @Synchronized
    fun recordStart(requestId: String, key: String?, operation: String) {
        latestIndexes[requestId] = runs.size
        runs.add(Run(requestId, key, operation, finished = false))
    }

    /** Marks the latest run of [requestId] as finished. */
    @Synchronized
    fun recordFinish(requestId: String) {
        val index = latestIndexes[requestId] ?: return
        runs[index] = runs[index].copy(finished = true)
    }

    /** Returns all runs, oldest first. */
    @Synchronized fun all(): List<Run> = runs.toList()
}
