package io.lavenderhinge.core.membership

import kotlin.random.Random

/** Chooses the peers to exchange digests with. */
internal class GossipPeers(
    private val ownDomain: String,
    private val seeds: List<String>,
    private val random: Random,
    startedAtMillis: Long,
) {
    private var nextInsideMillis = startedAtMillis + random.nextLong(INSIDE_MILLIS)
    private var nextOutsideMillis = startedAtMillis + random.nextLong(OUTSIDE_MILLIS)
    private var nextSeedMillis = startedAtMillis

    /** Peers that are due now. */
    fun due(entries: Collection<InstanceEntry>, nowMillis: Long): List<String> {
        val (inside, outside) = entries.partition { it.failureDomain == ownDomain }
        val peers = mutableListOf<String?>()
        if (nowMillis >= nextInsideMillis) {
            nextInsideMillis = nowMillis + jittered(INSIDE_MILLIS)
            peers += pick(inside)
        }
        if (nowMillis >= nextOutsideMillis) {
            nextOutsideMillis = nowMillis + jittered(OUTSIDE_MILLIS)
            peers += pick(outside)
        }
        if (nowMillis >= nextSeedMillis && entries.none { it.state == MemberState.LIVE }) {
            nextSeedMillis = nowMillis + INSIDE_MILLIS
            peers += seeds.randomOrNull(random)
        }
        return peers.filterNotNull().distinct()
    }

    // The dead are tried too, or two halves of a partition would never find each other again.
    private fun pick(entries: List<InstanceEntry>): String? {
        val (dead, others) = entries.partition { it.state == MemberState.DEAD }
        val probeDead = others.isEmpty() || random.nextInt(DEAD_PROBE) == 0
        val pool = if (probeDead && dead.isNotEmpty()) dead else others
        return pool.randomOrNull(random)?.id
    }

    private fun jittered(millis: Long) =
        millis - millis / TENTH + random.nextLong(millis / HALF_TENTH)

    private companion object {
        const val INSIDE_MILLIS = 1_000L
        const val OUTSIDE_MILLIS = 5_000L
        const val DEAD_PROBE = 8
        const val TENTH = 10
        const val HALF_TENTH = 5
    }
}
