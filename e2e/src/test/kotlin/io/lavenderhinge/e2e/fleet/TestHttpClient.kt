package io.lavenderhinge.e2e.fleet

import com.fasterxml.jackson.databind.JsonNode
import io.lavenderhinge.adapters.Json
import io.lavenderhinge.http.CallTimeouts
import io.lavenderhinge.http.HttpClient
import io.lavenderhinge.http.HttpField
import io.lavenderhinge.http.HttpRequest
import io.lavenderhinge.http.HttpResponse
import io.lavenderhinge.standins.Faults
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.handler.codec.http.DefaultHttpHeaders
import java.net.InetSocketAddress

/** An HTTP client for the process at [address]. */
class TestHttpClient(val address: InetSocketAddress) {
    suspend fun call(
        method: String,
        target: String,
        body: Any? = null,
        headers: List<HttpField> = emptyList(),
        timeoutMillis: Long = 20_000,
    ): HttpResponse {
        val nettyHeaders = DefaultHttpHeaders()
        headers.forEach { nettyHeaders.add(it.name, it.value) }
        val bytes = if (body == null) ByteArray(0) else Json.render(body)
        val path = target.substringBefore('?')
        val query = target.substringAfter('?', "")
        val request = HttpRequest(method, path, query, nettyHeaders, bytes)
        return httpClient.call(address, request, CallTimeouts(1_000, timeoutMillis))
    }

    suspend fun callJson(method: String, target: String, body: Any? = null): JsonNode =
        Json.mapper.readTree(call(method, target, body).body)

    suspend fun setFaults(faults: Faults) {
        call("POST", "/admin/faults", faults)
    }

    companion object {
        private val httpClient =
            HttpClient(MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory()))
    }
}
