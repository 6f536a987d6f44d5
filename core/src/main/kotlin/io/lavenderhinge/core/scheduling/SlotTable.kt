package io.lavenderhinge.core.scheduling

import io.lavenderhinge.core.Tier
import io.lavenderhinge.core.limit.LoadIntegral

/** Slots granted by a home. The derived counters are checked on every change. */
internal class SlotTable(private val invariants: Invariants) {
    private val byKey = LinkedHashMap<GrantRequestKey, GrantedSlot>()
    private val byTier = IntArray(Tier.entries.size)
    val load = LoadIntegral()

    var contextTokens = 0L
        private set

    /** Number of slots whose entry was told to preempt the request. */
    var preempting = 0
        private set

    val size: Int
        get() = byKey.size

    operator fun get(key: GrantRequestKey): GrantedSlot? = byKey[key]

    fun all(): Collection<GrantedSlot> = byKey.values

    fun add(slot: GrantedSlot, nowMillis: Long) {
        val previous = byKey.put(slot.request.key, slot)
        invariants.check(previous == null) {
            "request ${slot.request.grantRequestId} was granted twice"
        }
        byTier[slot.request.tier.ordinal]++
        contextTokens += slot.contextTokens
        onChanged(nowMillis)
    }

    fun remove(key: GrantRequestKey, nowMillis: Long): GrantedSlot? {
        val slot = byKey.remove(key) ?: return null
        byTier[slot.request.tier.ordinal]--
        contextTokens -= slot.contextTokens
        if (slot.preemptedAtMillis != null) preempting--
        onChanged(nowMillis)
        return slot
    }

    fun markPreempted(slot: GrantedSlot, nowMillis: Long) {
        if (slot.preemptedAtMillis == null) preempting++
        slot.preemptedAtMillis = nowMillis
    }

    /** Clears preemptions older than [beforeMillis] on which the entries did not act. */
    fun expirePreemptions(beforeMillis: Long) {
        if (preempting == 0) return
        for (slot in byKey.values) {
            if ((slot.preemptedAtMillis ?: beforeMillis) >= beforeMillis) continue
            slot.preemptedAtMillis = null
            preempting--
        }
    }

    /** Number of requests below [tier] in service that are not being preempted. */
    fun countBelow(tier: Tier): Int = inServiceBelow(tier) - preemptingBelow(tier)

    /** The newest request of the lowest tier below [tier], which loses the least work. */
    fun victimFor(tier: Tier): GrantedSlot? =
        byKey.values
            .filter { tier.outranks(it.request.tier) && it.preemptedAtMillis == null }
            .filter { it.orphanedAtMillis == null }
            .maxWithOrNull(compareBy({ it.request.tier.ordinal }, { it.grantedAtMillis }))

    private fun inServiceBelow(tier: Tier) =
        Tier.entries.filter { tier.outranks(it) }.sumOf { byTier[it.ordinal] }

    private fun preemptingBelow(tier: Tier) =
        if (preempting == 0) 0
        else byKey.values.count { it.preemptedAtMillis != null && tier.outranks(it.request.tier) }

    private fun onChanged(nowMillis: Long) {
        load.set(byKey.size, contextTokens, nowMillis)
        invariants.check(
            contextTokens >= 0 && byTier.all { it >= 0 } && byTier.sum() == byKey.size
        ) {
            "slots leak: ${byKey.size} in service, by tier ${byTier.toList()}, " +
                "$contextTokens tokens"
        }
    }
}
