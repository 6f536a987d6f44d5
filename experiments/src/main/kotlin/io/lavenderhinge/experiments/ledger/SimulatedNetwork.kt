package io.lavenderhinge.experiments.ledger

import kotlin.random.Random

/** Delivers messages between instances with delay, loss and partitions. */
class SimulatedNetwork(private val clock: VirtualClock, private val random: Random) {
    /** Instances on one side of the network partition; empty without a partition. */
    var partitionedInstances: Set<String> = emptySet()
    var lossFraction = 0.0
    var extraDelayMicros = 0L

    fun send(from: String, to: String, deliver: () -> Unit) {
        if (from == to) return clock.scheduleAfter(0, deliver)
        if (
            (from in partitionedInstances) != (to in partitionedInstances) ||
                random.nextDouble() < lossFraction
        )
            return
        val jitterMicros = if (extraDelayMicros == 0L) 0 else random.nextLong(extraDelayMicros)
        clock.scheduleAfter(random.nextLong(500, 2_000) + jitterMicros, deliver)
    }
}
