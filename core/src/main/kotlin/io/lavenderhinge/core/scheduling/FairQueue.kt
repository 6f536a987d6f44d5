package io.lavenderhinge.core.scheduling

import java.util.TreeMap
import java.util.TreeSet

/**
 * Start-time fair queueing among workspaces.
 *
 * A workspace is charged when its ask is served, not when it arrives: asks that are withdrawn,
 * displaced or too late must not push their workspace back.
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

    /** Uncached prompt tokens of all waiting asks. */
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

    /** The ask that arrived last. */
    fun newest(): QueuedRequest? = byArrival.lastEntry()?.value

    fun all(): List<QueuedRequest> = byArrival.values.toList()

    /** Removes [waiting] and charges its workspace for the service. */
    fun serve(waiting: QueuedRequest) {
        val flow = flows.getValue(waiting.request.workspace)
        ordered.remove(flow)
        virtualTime = maxOf(virtualTime, flow.startTag)
        flow.startTag += waiting.cost / waiting.request.weight.coerceAtLeast(MIN_WEIGHT)
        ordered.add(flow)
        remove(waiting)
    }

    /** Removes [waiting] without charge; true when it was in this queue. */
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
        // Doubling keeps the clean-up at constant cost for each ask.
        cleanUpSize = maxOf(MIN_CLEAN_UP_SIZE, finishTags.size * 2)
    }

    private companion object {
        const val MIN_WEIGHT = 0.001
        const val MIN_CLEAN_UP_SIZE = 64
    }
}
