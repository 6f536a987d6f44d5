package io.lavenderhinge.ctl

import io.lavenderhinge.adapters.CallBudget
import io.lavenderhinge.adapters.HttpKeyValueStore
import io.lavenderhinge.core.port.KeyValueStore
import io.lavenderhinge.core.settings.Address
import io.lavenderhinge.http.CallTimeouts
import io.lavenderhinge.http.HttpCallException
import io.lavenderhinge.http.HttpClient
import io.lavenderhinge.http.HttpRequest
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.handler.codec.http.DefaultHttpHeaders
import java.io.InputStream
import java.net.InetSocketAddress

/** [Environment] of the running process; all HTTP calls share one event loop thread. */
internal class SystemEnvironment : Environment, AutoCloseable {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val client = HttpClient(group)

    override fun store(address: Address): KeyValueStore =
        HttpKeyValueStore(
            client,
            InetSocketAddress(address.ip, address.port),
            CallBudget(CALLS_PER_SECOND, CALLS_PER_SECOND),
            CallBudget(CALLS_PER_SECOND, CALLS_PER_SECOND),
            TIMEOUT_MILLIS,
        )

    override suspend fun getFromOperatorPort(
        address: Address,
        path: String,
        query: String,
    ): OperatorResponse? =
        try {
            val request = HttpRequest("GET", path, query, DefaultHttpHeaders(), ByteArray(0))
            val socket = InetSocketAddress(address.ip, address.port)
            val response =
                client.call(socket, request, CallTimeouts(TIMEOUT_MILLIS, TIMEOUT_MILLIS))
            OperatorResponse(response.status, response.body.decodeToString())
        } catch (_: HttpCallException) {
            null
        }

    override fun nowMillis(): Long = System.currentTimeMillis()

    override fun standardInput(): InputStream = System.`in`

    override fun userName(): String = System.getProperty("user.name").orEmpty()

    override fun close() {
        client.close()
        group.shutdownGracefully()
    }

    private companion object {
        const val CALLS_PER_SECOND = 50.0
        const val TIMEOUT_MILLIS = 5_000L
    }
}
