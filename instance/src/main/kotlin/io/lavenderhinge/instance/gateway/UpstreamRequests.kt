package io.lavenderhinge.instance.gateway

import io.lavenderhinge.core.forwarding.ServerEntry
import io.lavenderhinge.http.HttpField
import io.lavenderhinge.http.HttpRequest
import io.lavenderhinge.platform.PlatformHeaders
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders

/** Hop-by-hop header fields, which must not be forwarded. */
private val hopByHopFields: List<CharSequence> =
    listOf(
        HttpHeaderNames.CONNECTION,
        "Proxy-Connection",
        HttpHeaderNames.TE,
        HttpHeaderNames.TRAILER,
        HttpHeaderNames.TRANSFER_ENCODING,
        HttpHeaderNames.UPGRADE,
        HttpHeaderNames.CONTENT_LENGTH,
        HttpHeaderNames.EXPECT,
        "Keep-Alive",
    )

/** Values of the header fields that the gateway adds to a request to a backend server. */
internal data class UpstreamFields(
    val server: ServerEntry,
    val workspace: String?,
    val remainingMillis: Long,
    /** Id of the event after which the stream resumes; null to start from the beginning. */
    val lastEventId: Long?,
)

/** Builds the request to a backend server from the client request. */
internal fun upstreamRequest(request: HttpRequest, fields: UpstreamFields): HttpRequest {
    val headers = DefaultHttpHeaders()
    headers.set(request.headers)
    removeHopByHopFields(headers)
    PlatformHeaders.RESERVED.forEach { headers.remove(it) }
    headers.set(PlatformHeaders.EXPECTED_SERVER, fields.server.id)
    headers.set(PlatformHeaders.DEADLINE_MILLIS, fields.remainingMillis.coerceAtLeast(1))
    fields.workspace?.let { headers.set(PlatformHeaders.WORKSPACE, it) }
    fields.lastEventId?.let { headers.set(PlatformHeaders.LAST_EVENT_ID, it) }
    return HttpRequest(
        request.method,
        request.path,
        request.query,
        headers,
        request.body,
        request.target,
    )
}

/** Returns the header fields of a backend server's response that are sent to the client. */
internal fun responseFields(headers: HttpHeaders): List<HttpField> {
    val kept = DefaultHttpHeaders()
    kept.set(headers)
    removeHopByHopFields(kept)
    return kept.map { HttpField(it.key, it.value) }
}

private fun removeHopByHopFields(headers: HttpHeaders) {
    headers.getAll(HttpHeaderNames.CONNECTION).forEach { value ->
        value.split(',').map { it.trim() }.filter { it.isNotEmpty() }.forEach { headers.remove(it) }
    }
    hopByHopFields.forEach { headers.remove(it) }
}
