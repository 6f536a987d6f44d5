package io.lavenderhinge.experiments.settings

import kotlin.random.Random

/**
 * Simulated links with delay, loss and partitions. The sender detects an unresponsive peer 2 s
 * after a send.
 */
internal class SimulatedNetwork(
    private val fleet: Fleet,
    private val plan: RunPlan,
    private val random: Random,
) {
    private val lastSendMillis = HashMap<Pair<String, String>, Long>()

    /** Whether one domain can reach another. */
    var connected: (from: String, to: String) -> Boolean = { _, _ -> true }

    /** Hosts that disappeared without closing their connections. */
    val silentHosts = HashSet<String>()

    fun send(from: SimulatedInstance, to: String, message: Message) {
        val peer = fleet.instances[to] ?: return
        lastSendMillis[from.id to to] = fleet.queue.nowMillis
        val partitioned = !connected(from.domain, peer.domain)
        if (partitioned || to in silentHosts) {
            fleet.queue.scheduleAfter(SEND_TIMEOUT_MILLIS) { from.onLinkLost(to) }
        } else if (!peer.alive) {
            fleet.queue.scheduleAfter(1) { from.onLinkLost(to) }
        } else if (random.nextDouble() >= plan.scenario.lossFraction) {
            val delayMillis = 1 + random.nextLong(plan.scenario.maxDelayMillis)
            fleet.queue.scheduleAfter(delayMillis) {
                fleet.instances[to]?.receive(from.id, message)
            }
        }
    }

    /** Closes the connections of [id] after its process ended. Connected peers lose their link. */
    fun closeConnections(id: String) {
        val now = fleet.queue.nowMillis
        lastSendMillis
            .filter { (pair, lastMillis) ->
                pair.second == id && now - lastMillis < IDLE_TIMEOUT_MILLIS
            }
            .keys
            .forEach { (peer, _) ->
                fleet.queue.scheduleAfter(1 + random.nextLong(5)) {
                    fleet.instances[peer]?.onLinkLost(id)
                }
            }
        lastSendMillis.keys.removeIf { it.first == id || it.second == id }
    }

    private companion object {
        const val SEND_TIMEOUT_MILLIS = 2_000L
        const val IDLE_TIMEOUT_MILLIS = 60_000L
    }
}
