package io.lavenderhinge.core.settings

import io.lavenderhinge.core.membership.RendezvousHash

/**
 * Distribution tree for a new settings text.
 *
 * If each relay sent to 63 instances, it would use most of its 5 KB/s; in a tree each instance
 * sends at most [FAN_OUT] copies, and one on average.
 */
internal object PushTree {
    const val FAN_OUT = 4
    const val RELAYS = 2

    /** Returns the relays among the live [instances] of [failureDomain]. */
    fun relays(failureDomain: String, instances: Iterable<String>): List<String> =
        RendezvousHash.highest("settings-relay/$failureDomain", instances, RELAYS)

    /** Returns the instances to which [self] forwards revision [revision] of [team]. */
    fun children(
        self: String,
        relays: List<String>,
        instances: Collection<String>,
        team: String,
        revision: Long,
    ): List<String> {
        val others = instances - relays.toSet()
        // The order differs between changes, so that the load is spread over the instances.
        val order = RendezvousHash.highest("$team@$revision", others, others.size)
        if (self in relays) return order.take(FAN_OUT) + relays.filter { it != self }
        val index = order.indexOf(self)
        if (index < 0) return emptyList()
        return order.drop(FAN_OUT * (index + 1)).take(FAN_OUT)
    }
}
