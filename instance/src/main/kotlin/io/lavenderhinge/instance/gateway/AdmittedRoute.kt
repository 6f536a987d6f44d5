package io.lavenderhinge.instance.gateway

import io.lavenderhinge.core.forwarding.ForwardingTable
import io.lavenderhinge.core.forwarding.RequestDescription

/**
 * The route by which [request] was admitted, for a look at what later configurations make of it.
 */
internal class AdmittedRoute(
    /** Version of the configuration by which the request was admitted. */
    val version: Long,
    private val request: RequestDescription,
) {
    /** Timeout of the route of the request in [table]; null if there is none. */
    fun timeoutMillisIn(table: ForwardingTable): Long? =
        table.routeFor(request.host, request.path)?.timeoutMillis
}
