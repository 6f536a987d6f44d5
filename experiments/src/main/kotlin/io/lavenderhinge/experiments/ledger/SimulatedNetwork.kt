package io.lavenderhinge.experiments.ledger

import kotlin.random.Random

/** Message delivery between instances: delay, loss, duplicates and cuts. */
class SimulatedNetwork(private val time: VirtualTime, private val random: Random) {
    /** Instances on one side of a cut; empty when there is none. */
    var cutOff: Set<String> = emptySet()
    var lossFraction = 0.0
    var extraDelayMicros = 0L

    fun send(from: String, to: String, deliver: () -> Unit) {
        if (from == to) return time.after(0, deliver)
        if ((from in cutOff) != (to in cutOff) || random.nextDouble() < lossFraction) return
        val jitterMicros = if (extraDelayMicros == 0L) 0 else random.nextLong(extraDelayMicros)
        time.after(random.nextLong(500, 2_000) + jitterMicros, deliver)
    }
}
