package io.lavenderhinge.core.routing

import io.lavenderhinge.core.scheduling.HomeEffect
import io.lavenderhinge.core.scheduling.PrefixHashSampling

/** A caller's request that waits for a slot. */
internal class PendingRequest(val request: SlotRequest) {
    val prefixHashes = PrefixHashSampling.sample(request.prefixHashes)
    val openRequests = LinkedHashMap<String, OpenGrantRequest>()

    /** The latest refusal per backend server in this round. */
    val refusals = LinkedHashMap<String, HomeEffect.Refuse>()

    /** Backend servers whose home was asked to preempt a lower tier. */
    val preemptionRequested = HashSet<String>()
    var grantRequestCount = 0
    var rounds = 0
    var resumeAtMillis = 0L

    fun startNextRound(atMillis: Long) {
        refusals.clear()
        preemptionRequested.clear()
        grantRequestCount = 0
        rounds++
        resumeAtMillis = atMillis
    }

    fun wasTried(serverId: String): Boolean =
        serverId in refusals || openRequests.values.any { it.serverId == serverId }
}
