package io.lavenderhinge.core.scheduling

import java.util.TreeMap
import java.util.TreeSet

/**
 * Start-time fair queueing across workspaces.
 *
 * A workspace is charged when its request is served, not when the request arrives. Requests that
 * are withdrawn, displaced or expired therefore do not delay later requests of the workspace.
 */
internal class FairQueue {
    private class Flow(val workspace: String, var startTag: Double) {
        val requests = TreeMap<Long, QueuedRequest>()
    }

    private val flows = HashMap<String, Flow>()
    private val ordered = TreeSet(compareBy<Flow> { it.startTag }.thenBy { it.workspace })
    private val byArrival = TreeMap<Long, QueuedRequest>()
    private val finishTags = HashMap<String, Double>()
    private var virtualTime = 0.0
    private var cleanUpSize = MIN_CLEAN_UP_SIZE

    val size: Int
        get() = byArrival.size

    /** Uncached prompt tokens of all queued requests. */
    var prefillTokens: Long = 0
        private set

    fun add(waiting: QueuedRequest) {
        val workspace = waiting.request.workspace
        val flow =
            flows.getOrPut(workspace) {
                Flow(workspace, maxOf(virtualTime, finishTags.remove(workspace) ?: 0.0))
            }
        flow.requests[waiting.arrivalNumber] = waiting
        ordered.add(flow)
        byArrival[waiting.arrivalNumber] = waiting
        prefillTokens += waiting.prefillTokens
    }

    fun peek(): QueuedRequest? = ordered.firstOrNull()?.requests?.firstEntry()?.value

    /** Returns the request that arrived last. */
    fun newest(): QueuedRequest? = byArrival.lastEntry()?.value

    fun all(): List<QueuedRequest> = byArrival.values.toList()

    /** Removes [waiting] and charges its cost to its workspace. */
    fun serve(waiting: QueuedRequest) {
        val flow = flows.getValue(waiting.request.workspace)
        ordered.remove(flow)
        virtualTime = maxOf(virtualTime, flow.startTag)
        flow.startTag += waiting.cost / waiting.request.weight.coerceAtLeast(MIN_WEIGHT)
        ordered.add(flow)
        remove(waiting)
    }

    /** Removes [waiting] without charging its workspace. Returns true if it was in this queue. */
    fun remove(waiting: QueuedRequest): Boolean {
        val flow = flows[waiting.request.workspace] ?: return false
        flow.requests.remove(waiting.arrivalNumber) ?: return false
        byArrival.remove(waiting.arrivalNumber)
        prefillTokens -= waiting.prefillTokens
        if (flow.requests.isEmpty()) removeFlow(flow)
        return true
    }

    private fun removeFlow(flow: Flow) {
        flows.remove(flow.workspace)
        ordered.remove(flow)
        if (flow.startTag > virtualTime) finishTags[flow.workspace] = flow.startTag
        if (finishTags.size < cleanUpSize) return
        finishTags.values.removeIf { it <= virtualTime }
        // Doubling the threshold keeps the amortized clean-up cost per request constant.
        cleanUpSize = maxOf(MIN_CLEAN_UP_SIZE, finishTags.size * 2)
    }

    private companion object {
        const val MIN_WEIGHT = 0.001
        const val MIN_CLEAN_UP_SIZE = 64
    }
}
