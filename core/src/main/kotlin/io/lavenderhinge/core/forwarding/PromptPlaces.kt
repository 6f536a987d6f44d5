package io.lavenderhinge.core.forwarding

import io.lavenderhinge.core.LruMap
import io.lavenderhinge.core.membership.RendezvousHash
import kotlin.math.ceil

/**
 * Names the servers that should hold a prompt, in an order on which all instances agree without a
 * message: the second request with a part finds the place of the first one at any instance, however
 * soon it comes.
 *
 * Each part of a prompt selects some of the servers that the parts before it have selected, by
 * rendezvous hashing, as many as its share of the traffic calls for. A part of all prompts selects
 * all servers, one of a two-hundredth of them selects one, and the last part orders what is left. A
 * long part with many continuations is therefore not read on every server, and a part in demand is
 * held by more servers. Slow servers get a smaller share of the prompts.
 */
internal class PromptPlaces(private val demand: PromptDemand, private val speeds: SpeedClasses) {
    /** The agreed servers for the first [parts] parts of a prompt. */
    class Ranking(
        /** In the order of preference. */
        val servers: List<ServerRecord>,
        /** How many of the first servers should hold the prompt. */
        val wanted: Int,
        val parts: Int,
        /** End of the time in which the ranking is used. */
        val endMillis: Long,
    ) {
        companion object {
            /** The ranking of a prompt that is not shared. */
            val NONE = Ranking(emptyList(), wanted = 0, parts = 0, endMillis = 0)
        }
    }

    private val rankings = LruMap<ULong, Ranking>(MAX_RANKINGS)

    /**
     * Returns the first servers of [servers] for the first [count] parts of [chain]. [setHash]
     * identifies the set of [servers].
     */
    fun ranked(
        chain: PromptChain,
        count: Int,
        servers: List<ServerRecord>,
        setHash: ULong,
        nowMillis: Long,
    ): Ranking {
        val key = RendezvousHash.weight(chain.hash(count - 1).toULong(), setHash)
        val known = rankings[key]
        if (known != null && nowMillis < known.endMillis) return known
        return rank(chain, count, servers, nowMillis).also { rankings[key] = it }
    }

    /** Has to be called after a change of the speed classes. */
    fun onSpeedsChanged() = rankings.clear()

    private fun rank(
        chain: PromptChain,
        count: Int,
        servers: List<ServerRecord>,
        nowMillis: Long,
    ): Ranking {
        var selected = servers
        for (index in 0 until count - 1) {
            val size = holderCount(chain.hash(index), servers.size, nowMillis) ?: servers.size
            if (size < selected.size) selected = highest(chain.hash(index), selected, size)
        }
        val wanted = holderCount(chain.hash(count - 1), servers.size, nowMillis) ?: 1
        val ranked = wanted.coerceIn(MIN_RANKED, MAX_RANKED)
        val first = highest(chain.hash(count - 1), selected, ranked)
        // If the places are full, all continuations of a part share the next ones as well.
        val next =
            if (first.size == ranked || count == 1) emptyList()
            else highest(chain.hash(count - 2), servers, ranked + first.size)
        val agreed = (first + next).distinct().take(ranked)
        return Ranking(agreed, wanted, count, nowMillis + VALID_MILLIS)
    }

    /** Returns how many of [serverCount] servers should hold [part]; null if that is unknown. */
    private fun holderCount(part: Long, serverCount: Int, nowMillis: Long): Int? {
        val share = demand.share(part, nowMillis) ?: return null
        val wanted = HOLDERS_PER_SHARE * share * serverCount
        // Instances measure the demand separately; they agree on a power of two more often.
        val count = ceil(wanted).toInt().coerceIn(1, serverCount.coerceAtLeast(1))
        val power = Integer.highestOneBit(count)
        return if (power == count) count else (power * 2).coerceAtMost(serverCount)
    }

    private fun highest(part: Long, servers: List<ServerRecord>, count: Int): List<ServerRecord> =
        servers
            .map { it to weight(part, it) }
            .sortedByDescending { it.second }
            .take(count)
            .map { it.first }

    // The fourth power makes a server the first one for a quarter as many parts.
    private fun weight(part: Long, record: ServerRecord): Double {
        val hash = RendezvousHash.weight(part.toULong(), record.idHash)
        val weight = hash.toDouble() / ULong.MAX_VALUE.toDouble()
        if (!speeds.isSlow(record)) return weight
        val square = weight * weight
        return square * square
    }

    private companion object {
        const val MAX_RANKINGS = 2_048
        /** Bounds how long a change of the demand has no effect. */
        const val VALID_MILLIS = 1_000L
        /** More places than a request compares, since some are full or must not be used. */
        const val MIN_RANKED = 4
        /**
         * Bounds the cost of a decision; a part that more servers should hold is on most of them.
         */
        const val MAX_RANKED = 8
        /** Leaves room for the uneven load of servers that hashing selects. */
        const val HOLDERS_PER_SHARE = 1.5
    }
}
