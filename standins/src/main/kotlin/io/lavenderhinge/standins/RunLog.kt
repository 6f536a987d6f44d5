package io.lavenderhinge.standins

import java.util.concurrent.ConcurrentHashMap

/** One run of a request: what the stand-in really did. */
data class Run(
    val requestId: String,
    val key: String?,
    val operation: String,
    val finished: Boolean,
)

/** Record of every run, against which tests compare what callers were told. */
class RunLog {
    private val runs = mutableListOf<Run>()
    private val latestIndexes = ConcurrentHashMap<String, Int>()

    /** Notes the start of a run. */
    @Synchronized
    fun recordStart(requestId: String, key: String?, operation: String) {
        latestIndexes[requestId] = runs.size
        runs.add(Run(requestId, key, operation, finished = false))
    }

    /** Notes that the newest run of [requestId] reached its end. */
    @Synchronized
    fun recordFinish(requestId: String) {
        val index = latestIndexes[requestId] ?: return
        runs[index] = runs[index].copy(finished = true)
    }

    /** All runs, oldest first. */
    @Synchronized fun all(): List<Run> = runs.toList()
}
