package io.lavenderhinge.core.scheduling

import io.lavenderhinge.core.Tier

/**
 * The waiting asks of a home, by tier with strict priority.
 *
 * Each tier has a second lane for asks that missed their first-token target but not their deadline:
 * serving them first would make every later ask miss its target as well.
 */
internal class TierQueues {
    private val onTime = Tier.entries.map { FairQueue() }
    private val late = Tier.entries.map { FairQueue() }
    private val byId = HashMap<AskKey, WaitingAsk>()

    val size: Int
        get() = byId.size

    operator fun get(key: AskKey): WaitingAsk? = byId[key]

    fun add(waiting: WaitingAsk) {
        lane(waiting).add(waiting)
        byId[waiting.ask.key] = waiting
    }

    /** The next ask to serve: highest tier, on time before late, fair among workspaces. */
    fun peek(): WaitingAsk? = Tier.entries.firstNotNullOfOrNull { peek(it) }

    private fun peek(tier: Tier) = onTime[tier.ordinal].peek() ?: late[tier.ordinal].peek()

    fun serve(waiting: WaitingAsk) {
        lane(waiting).serve(waiting)
        byId.remove(waiting.ask.key)
    }

    fun remove(key: AskKey): WaitingAsk? {
        val waiting = byId.remove(key) ?: return null
        lane(waiting).remove(waiting)
        return waiting
    }

    fun moveToLate(waiting: WaitingAsk) {
        lane(waiting).remove(waiting)
        waiting.isLate = true
        lane(waiting).add(waiting)
    }

    /** The newest ask of the lowest lane below that of an on-time ask of [tier]. */
    fun displaceableBy(tier: Tier): WaitingAsk? {
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

    /** Asks that are served before a new on-time ask of [tier]. */
    fun ahead(tier: Tier): Int = higher(tier).sumOf { waiting(it) } + onTime[tier.ordinal].size

    fun prefillTokensAhead(tier: Tier): Long =
        higher(tier).sumOf { onTime[it.ordinal].prefillTokens + late[it.ordinal].prefillTokens } +
            onTime[tier.ordinal].prefillTokens

    fun lower(tier: Tier): Int = Tier.entries.filter { tier.outranks(it) }.sumOf { waiting(it) }

    fun all(): List<WaitingAsk> = byId.values.toList()

    fun onTimeOf(tier: Tier): List<WaitingAsk> = onTime[tier.ordinal].all()

    private fun higher(tier: Tier) = Tier.entries.filter { it.outranks(tier) }

    private fun lane(waiting: WaitingAsk): FairQueue =
        (if (waiting.isLate) late else onTime)[waiting.ask.tier.ordinal]
}
