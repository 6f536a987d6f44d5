package io.lavenderhinge.core.routing

import io.lavenderhinge.core.scheduling.HomeDirectory
import io.lavenderhinge.core.scheduling.HomeEvent
import io.lavenderhinge.core.scheduling.ResultClass
import io.lavenderhinge.core.scheduling.SlotResult

/** Slots held by this entry. Each is registered with the current home of its backend server. */
internal class HeldSlots(
    private val settings: RoutingSettings,
    private val directory: HomeDirectory,
    private val selection: ServerSelection,
    private val send: (homeId: String, serverId: String, event: HomeEvent) -> Unit,
) {
    private val byRequest = LinkedHashMap<String, HeldSlot>()
    private val requestByGrantRequest = HashMap<String, String>()

    operator fun contains(requestId: String) = requestId in byRequest

    /** Returns the id of the request that holds the slot granted for [grantRequestId]. */
    fun requestOf(grantRequestId: String): String? = requestByGrantRequest[grantRequestId]

    fun add(slot: HeldSlot) {
        byRequest[slot.request.requestId] = slot
        requestByGrantRequest[slot.grantRequest.grantRequestId] = slot.request.requestId
    }

    fun onReleased(requestId: String) {
        val slot = remove(requestId) ?: return
        selection[slot.serverId]?.let { it.inService-- }
        slot.homeId?.let { send(it, slot.serverId, HomeEvent.Released(slot.grantRequest.key)) }
    }

    fun onFinished(requestId: String, result: SlotResult, nowMillis: Long) {
        val slot = remove(requestId) ?: return
        slot.homeId?.let {
            send(it, slot.serverId, HomeEvent.Finished(slot.grantRequest.key, result))
        }
        val server = selection[slot.serverId] ?: return
        server.inService--
        when (result.resultClass) {
            ResultClass.OK ->
                if (result.firstTokenMillis > 0 && slot.request.promptTokens > 0) {
                    server.prefill.observe(slot.prefillTokens, result.firstTokenMillis)
                }
            ResultClass.CONNECTION_FAILED,
            ResultClass.DRAINING -> server.avoidUntil(nowMillis + settings.avoidanceMillis)
            else -> Unit
        }
    }

    private fun remove(requestId: String): HeldSlot? =
        byRequest.remove(requestId)?.also {
            requestByGrantRequest.remove(it.grantRequest.grantRequestId)
        }

    /** Confirms slots in use, so that their homes do not revoke the grants as lost. */
    fun confirmGrants(nowMillis: Long) {
        for (slot in byRequest.values) {
            if (slot.isConfirmed) continue
            if (nowMillis - slot.grantedAtMillis < settings.confirmDelayMillis) continue
            val homeId = slot.homeId ?: continue
            slot.isConfirmed = true
            send(homeId, slot.serverId, HomeEvent.Registered(slot.grantRequest))
        }
    }

    fun onLinkLost(instanceId: String) {
        for (slot in byRequest.values) if (slot.homeId == instanceId) slot.homeId = null
    }

    /** Registers held slots whose backend server has a new home. */
    fun registerWithNewHomes() {
        for (slot in byRequest.values) {
            val homeId = directory.homeOf(slot.serverId) ?: continue
            if (homeId == slot.homeId) continue
            slot.homeId = homeId
            send(homeId, slot.serverId, HomeEvent.Registered(slot.grantRequest))
        }
    }
}
