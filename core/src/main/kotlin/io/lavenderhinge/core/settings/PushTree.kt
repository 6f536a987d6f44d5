package io.lavenderhinge.core.settings

import io.lavenderhinge.core.membership.RendezvousHash

/**
 * Whom an instance passes a new text on to.
 *
 * Relays sending to 63 instances each would take most of the 5 KB a second they may use; with a
 * tree each instance sends at most [FAN_OUT] copies, and one on average.
 */
internal object PushTree {
    const val FAN_OUT = 4
    const val RELAYS = 2

    /** The relays among the live [instances] of [failureDomain]. */
    fun relays(failureDomain: String, instances: Iterable<String>): List<String> =
        RendezvousHash.highest("settings-relay/$failureDomain", instances, RELAYS)

    /** Receivers of revision [revision] of [team] from [self]. */
    fun children(
        self: String,
        relays: List<String>,
        instances: Collection<String>,
        team: String,
        revision: Long,
    ): List<String> {
        val others = instances - relays.toSet()
        // The order differs for each change, so that no instance always carries the load.
        val order = RendezvousHash.highest("$team@$revision", others, others.size)
        if (self in relays) return order.take(FAN_OUT) + relays.filter { it != self }
        val index = order.indexOf(self)
        if (index < 0) return emptyList()
        return order.drop(FAN_OUT * (index + 1)).take(FAN_OUT)
    }
}
