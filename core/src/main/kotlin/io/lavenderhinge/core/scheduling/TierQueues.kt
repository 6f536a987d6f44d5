package io.lavenderhinge.core.scheduling

import io.lavenderhinge.core.Tier

/**
 * Queued requests of a home, by tier with strict priority.
 *
 * Each tier has a second lane for requests that missed their first-token target but can still meet
 * their deadline. Serving them first would make every later request miss its target too.
 */
internal class TierQueues {
    private val onTime = Tier.entries.map { FairQueue() }
    private val late = Tier.entries.map { FairQueue() }
    private val byKey = HashMap<GrantRequestKey, QueuedRequest>()

    val size: Int
        get() = byKey.size

    operator fun get(key: GrantRequestKey): QueuedRequest? = byKey[key]

    fun add(waiting: QueuedRequest) {
        lane(waiting).add(waiting)
        byKey[waiting.request.key] = waiting
    }

    /**
     * The next request to serve: highest tier first, on time before late, fair across workspaces.
     */
    fun peek(): QueuedRequest? = Tier.entries.firstNotNullOfOrNull { peek(it) }

    private fun peek(tier: Tier) = onTime[tier.ordinal].peek() ?: late[tier.ordinal].peek()

    fun serve(waiting: QueuedRequest) {
        lane(waiting).serve(waiting)
        byKey.remove(waiting.request.key)
    }

    fun remove(key: GrantRequestKey): QueuedRequest? {
        val waiting = byKey.remove(key) ?: return null
        lane(waiting).remove(waiting)
        return waiting
    }

    fun moveToLateLane(waiting: QueuedRequest) {
        lane(waiting).remove(waiting)
        waiting.isLate = true
        lane(waiting).add(waiting)
    }

    /** The newest request of the lowest lane below the on-time lane of [tier]. */
    fun displaceableBy(tier: Tier): QueuedRequest? {
        for (lower in Tier.entries.reversed()) {
            if (lower.outranks(tier)) return null
            late[lower.ordinal].newest()?.let {
                return it
            }
            if (lower == tier) return null
            onTime[lower.ordinal].newest()?.let {
                return it
            }
        }
        return null
    }

    fun waiting(tier: Tier): Int = onTime[tier.ordinal].size + late[tier.ordinal].size

    fun onTime(tier: Tier): Int = onTime[tier.ordinal].size

    /** Number of requests that are served before a new on-time request of [tier]. */
    fun countAhead(tier: Tier): Int = higher(tier).sumOf { waiting(it) } + onTime[tier.ordinal].size

    fun prefillTokensAhead(tier: Tier): Long =
        higher(tier).sumOf { onTime[it.ordinal].prefillTokens + late[it.ordinal].prefillTokens } +
            onTime[tier.ordinal].prefillTokens

    fun countBelow(tier: Tier): Int =
        Tier.entries.filter { tier.outranks(it) }.sumOf { waiting(it) }

    fun all(): List<QueuedRequest> = byKey.values.toList()

    fun onTimeOf(tier: Tier): List<QueuedRequest> = onTime[tier.ordinal].all()

    private fun higher(tier: Tier) = Tier.entries.filter { it.outranks(tier) }

    private fun lane(waiting: QueuedRequest): FairQueue =
        (if (waiting.isLate) late else onTime)[waiting.request.tier.ordinal]
}
