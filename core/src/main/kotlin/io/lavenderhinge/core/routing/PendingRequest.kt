package io.lavenderhinge.core.routing

import io.lavenderhinge.core.scheduling.HomeEffect
import io.lavenderhinge.core.scheduling.PrefixMilestones

/** A request that waits for a slot. */
internal class PendingRequest(val request: SlotRequest) {
    val prefixHashes = PrefixMilestones.select(request.prefixHashes)
    val asks = LinkedHashMap<String, OpenAsk>()

    /** The last refusal of each backend server in this round. */
    val refusals = LinkedHashMap<String, HomeEffect.Refuse>()

    /** Backend servers whose home was asked to preempt a lower tier. */
    val preemptAsked = HashSet<String>()
    var askCount = 0
    var rounds = 0
    var resumeAtMillis = 0L

    fun startRound(atMillis: Long) {
        refusals.clear()
        preemptAsked.clear()
        askCount = 0
        rounds++
        resumeAtMillis = atMillis
    }

    fun wasAsked(serverId: String): Boolean =
        serverId in refusals || asks.values.any { it.serverId == serverId }
}
