package io.lavenderhinge.e2e.contract

import io.lavenderhinge.adapters.CallBudget
import io.lavenderhinge.adapters.HttpKeyValueStore
import io.lavenderhinge.e2e.fleet.TestHttpClient
import io.lavenderhinge.http.HttpClient
import io.lavenderhinge.standins.Faults
import io.lavenderhinge.standins.platform.PlatformHandler
import io.lavenderhinge.standins.startStandin
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import java.net.InetSocketAddress

/** Runs the contract tests with the HTTP adapter and the fake key-value service. */
class HttpKeyValueStoreTest : KeyValueStoreContract({ createStore() })

private fun createStore(): Pair<HttpKeyValueStore, StoreFaults> {
    val server = startStandin("127.0.0.1:0", PlatformHandler())
    val client = HttpClient(MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()))
    val address = InetSocketAddress("127.0.0.1", server.port)
    val budget = CallBudget(callsPerSecond = 1_000.0, burst = 1_000.0)
    val testClient = TestHttpClient(address)
    val faults =
        object : StoreFaults {
            override suspend fun setOutage(enabled: Boolean) =
                testClient.setFaults(Faults(outage = enabled))

            override suspend fun dropNextResponse() = testClient.setFaults(Faults(loseAnswers = 1))

            override suspend fun setSilent(enabled: Boolean) =
                testClient.setFaults(Faults(silent = enabled))
        }
    return HttpKeyValueStore(client, address, budget, budget, timeoutMillis = 3_000) to faults
}
