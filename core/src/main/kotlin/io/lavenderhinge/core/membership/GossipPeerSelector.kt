package io.lavenderhinge.core.membership

import kotlin.random.Random

/**
 * Selects the peers for gossip: one of the own failure domain, less often one of another domain,
 * and a seed while no instance is known to be live.
 */
internal class GossipPeerSelector(
    private val ownDomain: String,
    private val seeds: List<String>,
    private val random: Random,
    startedAtMillis: Long,
) {
    private var nextLocalMillis = startedAtMillis + random.nextLong(LOCAL_INTERVAL_MILLIS)
    private var nextRemoteMillis = startedAtMillis + random.nextLong(REMOTE_INTERVAL_MILLIS)
    private var nextSeedMillis = startedAtMillis

    /** Returns the ids of the peers to gossip with now. */
    fun duePeers(entries: Collection<InstanceEntry>, nowMillis: Long): List<String> {
        val (local, remote) = entries.partition { it.failureDomain == ownDomain }
        val peers = mutableListOf<String?>()
        if (nowMillis >= nextLocalMillis) {
            nextLocalMillis = nowMillis + jittered(LOCAL_INTERVAL_MILLIS)
            peers += selectPeer(local)
        }
        if (nowMillis >= nextRemoteMillis) {
            nextRemoteMillis = nowMillis + jittered(REMOTE_INTERVAL_MILLIS)
            peers += selectPeer(remote)
        }
        if (nowMillis >= nextSeedMillis && entries.none { it.state == MemberState.LIVE }) {
            nextSeedMillis = nowMillis + LOCAL_INTERVAL_MILLIS
            peers += seeds.randomOrNull(random)
        }
        return peers.filterNotNull().distinct()
    }

    // Dead instances are contacted now and then; otherwise the two sides of a healed partition
    // would never discover each other again.
    private fun selectPeer(entries: List<InstanceEntry>): String? {
        val (dead, others) = entries.partition { it.state == MemberState.DEAD }
        val probeDead = others.isEmpty() || random.nextInt(DEAD_PROBE_ONE_IN) == 0
        val pool = if (probeDead && dead.isNotEmpty()) dead else others
        return pool.randomOrNull(random)?.id
    }

    // Jitter of plus or minus 10 percent.
    private fun jittered(millis: Long) =
        millis - millis / JITTER_BASE_DIVISOR + random.nextLong(millis / JITTER_RANGE_DIVISOR)

    private companion object {
        const val LOCAL_INTERVAL_MILLIS = 1_000L
        const val REMOTE_INTERVAL_MILLIS = 5_000L
        const val DEAD_PROBE_ONE_IN = 8
        const val JITTER_BASE_DIVISOR = 10
        const val JITTER_RANGE_DIVISOR = 5
    }
}
