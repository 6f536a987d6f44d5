package io.lavenderhinge.core.scheduling

import io.lavenderhinge.core.Tier
import io.lavenderhinge.core.limit.LoadIntegral

/** The slots that a home has granted. Counters are kept in step and checked on every change. */
internal class ServiceTable(private val invariants: Invariants) {
    private val byId = LinkedHashMap<AskKey, InService>()
    private val byTier = IntArray(Tier.entries.size)
    val load = LoadIntegral()

    var contextTokens = 0L
        private set

    /** Slots whose entry was told to give them up. */
    var preempting = 0
        private set

    val size: Int
        get() = byId.size

    operator fun get(key: AskKey): InService? = byId[key]

    fun all(): Collection<InService> = byId.values

    fun add(slot: InService, nowMillis: Long) {
        val previous = byId.put(slot.ask.key, slot)
        invariants.check(previous == null) { "ask ${slot.ask.askId} was granted twice" }
        byTier[slot.ask.tier.ordinal]++
        contextTokens += slot.contextTokens
        changed(nowMillis)
    }

    fun remove(key: AskKey, nowMillis: Long): InService? {
        val slot = byId.remove(key) ?: return null
        byTier[slot.ask.tier.ordinal]--
        contextTokens -= slot.contextTokens
        if (slot.preemptedAtMillis != null) preempting--
        changed(nowMillis)
        return slot
    }

    fun markPreempted(slot: InService, nowMillis: Long) {
        if (slot.preemptedAtMillis == null) preempting++
        slot.preemptedAtMillis = nowMillis
    }

    /** Forgets preemptions before [beforeMillis] that their entries did not obey. */
    fun expirePreemptions(beforeMillis: Long) {
        if (preempting == 0) return
        for (slot in byId.values) {
            if ((slot.preemptedAtMillis ?: beforeMillis) >= beforeMillis) continue
            slot.preemptedAtMillis = null
            preempting--
        }
    }

    /** Requests below [tier] in service that were not told to stop. */
    fun lower(tier: Tier): Int = lowerInclusive(tier) - preemptingBelow(tier)

    /** The newest request of the lowest tier below [tier]: it has the least work to lose. */
    fun victimFor(tier: Tier): InService? =
        byId.values
            .filter { tier.outranks(it.ask.tier) && it.preemptedAtMillis == null }
            .filter { it.orphanedAtMillis == null }
            .maxWithOrNull(compareBy({ it.ask.tier.ordinal }, { it.grantedAtMillis }))

    private fun lowerInclusive(tier: Tier) =
        Tier.entries.filter { tier.outranks(it) }.sumOf { byTier[it.ordinal] }

    private fun preemptingBelow(tier: Tier) =
        if (preempting == 0) 0
        else byId.values.count { it.preemptedAtMillis != null && tier.outranks(it.ask.tier) }

    private fun changed(nowMillis: Long) {
        load.set(byId.size, contextTokens, nowMillis)
        invariants.check(
            contextTokens >= 0 && byTier.all { it >= 0 } && byTier.sum() == byId.size
        ) {
            "slots leak: ${byId.size} in service, by tier ${byTier.toList()}, $contextTokens tokens"
        }
    }
}
