package io.lavenderhinge.e2e.fleet

import io.lavenderhinge.http.HttpCallException
import io.lavenderhinge.standins.metadata.MetadataStoreHandler
import io.lavenderhinge.standins.startStandin
import java.net.InetSocketAddress
import java.nio.file.Path
import kotlin.io.path.writeText
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.toImmutableList

/** Gateway processes that share a fake metadata store. */
class GatewayFleet(size: Int, directory: Path) : AutoCloseable {
    /** The store, for the configuration and the list of backend servers. */
    val store = MetadataStoreHandler()
    private val storeServer = startStandin("127.0.0.1:0", store)
    private val members = List(size) { Member("g${it + 1}", directory) }.toImmutableList()

    /** Ports on which the gateways take the requests of callers. */
    val callerPorts: ImmutableList<Int>
        get() = members.map { it.ports.caller }.toImmutableList()

    private inner class Member(val id: String, directory: Path) {
        val ports = GatewayPorts()
        val process: TestProcess
        private val readyClient = TestHttpClient(InetSocketAddress("127.0.0.1", ports.ready))

        init {
            val settingsFile = directory.resolve("$id.ini")
            settingsFile.writeText(ports.renderSettings(id, storeServer.port))
            process =
                TestProcess(
                    id,
                    "io.lavenderhinge.instance.MainKt",
                    listOf("--platform", "--config", settingsFile.toString()),
                    directory.resolve("$id.log"),
                )
        }

        suspend fun isReady(): Boolean =
            try {
                readyClient.call("GET", "/readiness").status == 200
            } catch (_: HttpCallException) {
                false
            }
    }

    /** Waits until every gateway is ready for requests. */
    suspend fun awaitReady() =
        members.forEach { member ->
            awaitCondition("gateway ${member.id} is ready") { member.isReady() }
        }

    override fun close() {
        members.forEach { it.process.kill() }
        storeServer.close()
    }
}
