package io.lavenderhinge.core.routing

import io.lavenderhinge.core.scheduling.GrantRequest

/** A slot held by this entry. [homeId] is null while the home of the server is unknown. */
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
