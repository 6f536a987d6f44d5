package io.lavenderhinge.instance.gateway

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.lavenderhinge.instance.control.ControlThread
import io.lavenderhinge.instance.peer.FrameReceiver
import io.lavenderhinge.instance.peer.PeerLinks
import io.lavenderhinge.protocol.v1.Frame
import io.lavenderhinge.protocol.v1.LoadReport
import java.time.Instant
import java.time.InstantSource

/** Guards against opening links to peers for changes that the store is about to deliver. */
class PeerStateSyncTest :
    FunSpec({
        test("a peer is not asked for a newer configuration within the grace period of the store") {
            val fixture = StateSyncFixture()

            fixture.receiveNewerConfigurationReport(atMillis = 1_000)
            fixture.receiveNewerConfigurationReport(atMillis = 1_350)

            fixture.requested.shouldBeEmpty()
        }

        test("a peer is asked once the grace period of the store is over") {
            val fixture = StateSyncFixture()

            fixture.receiveNewerConfigurationReport(atMillis = 1_000)
            fixture.receiveNewerConfigurationReport(atMillis = 1_400)

            fixture.requested.shouldContainExactly("peer-1")
        }
    })

private class StateSyncFixture {
    val requested = mutableListOf<String>()
    private var nowMillis = 0L
    private val control = ControlThread(InstantSource { Instant.ofEpochMilli(nowMillis) })
    private val stateSync =
        PeerStateSync(
            RecordingLinks(requested),
            control,
            ConfigurationHolder(ReadinessGate(), confirmationValidMillis = 3_000),
            ServerRegistry(control, staleAfterMillis = 3_000) {},
        )

    init {
        stateSync.start()
    }

    fun receiveNewerConfigurationReport(atMillis: Long) {
        nowMillis = atMillis
        val report = LoadReport.newBuilder().setInstanceId("peer-1").setConfigurationVersion(7)
        stateSync.onReport(report.build())
    }
}

private class RecordingLinks(private val requested: MutableList<String>) : PeerLinks {
    override val selfId = "self"

    override fun send(instanceId: String, frame: Frame): Boolean = requested.add(instanceId)

    override fun onFrame(receiver: FrameReceiver) = Unit

    override fun onLinkLost(listener: (instanceId: String) -> Unit) = Unit
}
