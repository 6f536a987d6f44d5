package io.lavenderhinge.core.routing

import io.lavenderhinge.core.scheduling.GrantRequest

/** A slot that this entry holds. [homeId] is null while the backend server has no known home. */
internal class HeldSlot(
    val request: SlotRequest,
    val grantRequest: GrantRequest,
    val serverId: String,
    var homeId: String?,
    val prefillTokens: Int,
    val grantedAtMillis: Long,
) {
    var isConfirmed = false
}
