package io.lavenderhinge.instance.gateway

import io.lavenderhinge.instance.gateway.ScriptedBackendServer.Companion.rawResponse
import io.lavenderhinge.instance.gateway.ServerAction.Send

/** Runs [use] with a gateway whose services have [servers], which are closed afterwards. */
internal suspend fun <T> withGateway(
    vararg servers: ScriptedBackendServer,
    use: suspend (GatewayHarness) -> T,
): T =
    try {
        GatewayHarness(*servers).use { use(it) }
    } finally {
        servers.forEach { it.close() }
    }

/** A server that answers each request with [body] and [status]. */
internal fun serverAnswering(body: String = "ok", status: String = "200 OK") =
    ScriptedBackendServer {
        Send(rawResponse(it, status, body))
    }

/** The stream event with [id]. */
internal fun event(id: Int) = "id: $id\ndata: e$id\n\n"
