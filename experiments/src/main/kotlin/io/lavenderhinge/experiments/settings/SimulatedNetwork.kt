package io.lavenderhinge.experiments.settings

import kotlin.random.Random

/** Links with delay, loss and cuts. A link that goes silent is noticed 2 s after a send. */
internal class SimulatedNetwork(
    private val fleet: Fleet,
    private val plan: RunPlan,
    private val random: Random,
) {
    private val links = HashMap<Pair<String, String>, Long>()

    /** Whether two domains reach each other. */
    var connected: (from: String, to: String) -> Boolean = { _, _ -> true }

    /** Hosts that vanished without closing their connections. */
    val silent = HashSet<String>()

    fun send(from: SimulatedInstance, to: String, message: Message) {
        val peer = fleet.instances[to] ?: return
        links[from.id to to] = fleet.queue.nowMillis
        val cut = !connected(from.domain, peer.domain)
        if (cut || to in silent) {
            fleet.queue.after(SILENCE_MILLIS) { from.linkLost(to) }
        } else if (!peer.alive) {
            fleet.queue.after(1) { from.linkLost(to) }
        } else if (random.nextDouble() >= plan.scenario.lossFraction) {
            val delayMillis = 1 + random.nextLong(plan.scenario.maximumDelayMillis)
            fleet.queue.after(delayMillis) { fleet.instances[to]?.receive(from.id, message) }
        }
    }

    /** The process of [id] ended: peers with an open link see it close. */
    fun closed(id: String) {
        val now = fleet.queue.nowMillis
        links
            .filter { (pair, lastMillis) -> pair.second == id && now - lastMillis < IDLE_MILLIS }
            .keys
            .forEach { (peer, _) ->
                fleet.queue.after(1 + random.nextLong(5)) { fleet.instances[peer]?.linkLost(id) }
            }
        links.keys.removeIf { it.first == id || it.second == id }
    }

    private companion object {
        const val SILENCE_MILLIS = 2_000L
        const val IDLE_MILLIS = 60_000L
    }
}
