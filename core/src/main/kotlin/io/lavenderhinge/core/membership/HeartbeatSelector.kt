package io.lavenderhinge.core.membership

import kotlin.random.Random

/**
 * Selects the heartbeats of a digest: the local instance's and a bounded sample of the most recent
 * others.
 *
 * The heartbeats of all 320 instances would take 7 KB per message. The sample is random, so that
 * peers do not all send the same heartbeats.
 */
internal class HeartbeatSelector(private val ownDomain: String, private val random: Random) {
    fun select(
        own: Heartbeat,
        entries: Collection<InstanceEntry>,
        nowMillis: Long,
    ): List<Heartbeat> {
        val (local, remote) =
            entries.filter { it.counter > 0 }.partition { it.failureDomain == ownDomain }
        val chosen =
            freshest(local, LOCAL_COUNT, LOCAL_POOL) + freshest(remote, REMOTE_COUNT, REMOTE_POOL)
        return listOf(own) + chosen.map { heartbeat(it, nowMillis) }
    }

    private fun freshest(entries: List<InstanceEntry>, count: Int, pool: Int) =
        entries
            .sortedByDescending { it.lastHeartbeatMillis }
            .take(pool)
            .shuffled(random)
            .take(count)

    private fun heartbeat(entry: InstanceEntry, nowMillis: Long): Heartbeat {
        val recent = nowMillis - entry.firstSeenMillis < NEW_INSTANCE_MILLIS
        // Receivers normally take addresses from the live list; repeating them occasionally serves
        // instances that cannot read it.
        val withAddress = recent || random.nextInt(ADDRESS_REPEAT_ONE_IN) == 0
        return Heartbeat(
            entry.id,
            entry.incarnation,
            entry.counter,
            entry.leaving,
            if (withAddress) entry.address else "",
            if (withAddress) entry.failureDomain else "",
        )
    }

    private companion object {
        const val LOCAL_COUNT = 14
        const val LOCAL_POOL = 32
        const val REMOTE_COUNT = 3
        const val REMOTE_POOL = 64
        const val NEW_INSTANCE_MILLIS = 20_000L
        const val ADDRESS_REPEAT_ONE_IN = 16
    }
}
