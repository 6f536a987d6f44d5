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
class RunRecord {
    private val runs = mutableListOf<Run>()
    private val positions = ConcurrentHashMap<String, Int>()

    /** Notes the start of a run. */
    @Synchronized
    fun started(requestId: String, key: String?, operation: String) {
        positions[requestId] = runs.size
        runs.add(Run(requestId, key, operation, finished = false))
    }

    /** Notes that the newest run of [requestId] reached its end. */
    @Synchronized
    fun finished(requestId: String) {
        val position = positions[requestId] ?: return
        runs[position] = runs[position].copy(finished = true)
    }

    /** All runs, oldest first. */
    @Synchronized fun all(): List<Run> = runs.toList()
}
