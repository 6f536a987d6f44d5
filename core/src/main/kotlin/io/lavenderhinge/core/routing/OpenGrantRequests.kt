package io.lavenderhinge.core.routing

import io.lavenderhinge.core.scheduling.GrantRequest
import io.lavenderhinge.core.scheduling.HomeEvent
import kotlin.random.Random

/** Grant requests of the entry [selfId] to homes that have neither granted nor refused them yet. */
internal class OpenGrantRequests(
    private val selfId: String,
    random: Random,
    private val sendEvent: (homeId: String, serverId: String, event: HomeEvent) -> Unit,
) {
    private val requestByGrantRequest = HashMap<String, String>()

    // Starts at a random number, so that slots granted to an earlier process with the same instance
    // id are not mistaken for slots of this process.
    private var nextNumber = random.nextLong(1L shl FIRST_NUMBER_BITS)

    /** Returns the id of the pending request for which [grantRequestId] was sent. */
    fun requestOf(grantRequestId: String): String? = requestByGrantRequest[grantRequestId]

    /** Asks the home [homeId] for a slot of the server [serverId]. */
    fun send(
        waiting: PendingRequest,
        serverId: String,
        homeId: String,
        mayPreempt: Boolean,
        nowMillis: Long,
    ) {
        val grantRequest = grantRequest(waiting, mayPreempt)
        requestByGrantRequest[grantRequest.grantRequestId] = waiting.request.requestId
        waiting.openRequests[grantRequest.grantRequestId] =
            OpenGrantRequest(grantRequest, serverId, homeId, nowMillis)
        sendEvent(homeId, serverId, HomeEvent.Requested(grantRequest))
    }

    /** Removes [open] without telling its home. */
    fun remove(waiting: PendingRequest, open: OpenGrantRequest) {
        waiting.openRequests.remove(open.request.grantRequestId)
        requestByGrantRequest.remove(open.request.grantRequestId)
    }

    /** Withdraws all grant requests of [waiting]. */
    fun releaseAll(waiting: PendingRequest) {
        for (open in waiting.openRequests.values.toList()) {
            remove(waiting, open)
            sendEvent(open.homeId, open.serverId, HomeEvent.Released(open.request.key))
        }
    }

    private fun grantRequest(waiting: PendingRequest, mayPreempt: Boolean): GrantRequest {
        val request = waiting.request
        return GrantRequest(
            // Kept short because it is part of every message about the request.
            grantRequestId = (nextNumber++).toString(Character.MAX_RADIX),
            entryId = selfId,
            tier = request.tier,
            workspace = request.workspace,
            weight = request.weight,
            promptTokens = request.promptTokens,
            outputTokens = request.outputTokens,
            deadlineMillis = request.deadlineMillis,
            prefixHashes = waiting.prefixHashes,
            firstTokenDueMillis = request.firstTokenDueMillis,
            mayPreempt = mayPreempt,
        )
    }

    private companion object {
        const val FIRST_NUMBER_BITS = 30
    }
}
