package io.lavenderhinge.instance.gateway

import io.lavenderhinge.core.forwarding.DispatchEffect
import io.lavenderhinge.core.forwarding.DispatchRequest

/** A slot at a server and the request for which it was granted. */
internal class AssignedSlot(val grant: DispatchEffect.Assign, val request: DispatchRequest) {
    val serverId: String
        get() = grant.server.id
}
