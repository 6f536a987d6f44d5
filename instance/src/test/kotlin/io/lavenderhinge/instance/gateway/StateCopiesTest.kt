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

/** Guards against links to every peer at each change that the store tells a moment later. */
class StateCopiesTest :
    FunSpec({
        test("a newer configuration that a peer has had for a moment is left to the store") {
            val fixture = CopiesFixture()

            fixture.reportOfNewerConfiguration(atMillis = 1_000)
            fixture.reportOfNewerConfiguration(atMillis = 1_350)

            fixture.asked.shouldBeEmpty()
        }

        test("a peer is asked once the store has not told for a while") {
            val fixture = CopiesFixture()

            fixture.reportOfNewerConfiguration(atMillis = 1_000)
            fixture.reportOfNewerConfiguration(atMillis = 1_400)

            fixture.asked.shouldContainExactly("peer-1")
        }
    })

private class CopiesFixture {
    val asked = mutableListOf<String>()
    private var nowMillis = 0L
    private val control = ControlThread(InstantSource { Instant.ofEpochMilli(nowMillis) })
    private val copies =
        StateCopies(
            RecordedLinks(asked),
            control,
            ConfigurationHolder(StartGate()),
            ServerWatch(control) {},
        )

    init {
        copies.start()
    }

    fun reportOfNewerConfiguration(atMillis: Long) {
        nowMillis = atMillis
        val report = LoadReport.newBuilder().setInstanceId("peer-1").setConfigurationVersion(7)
        copies.onReport(report.build())
    }
}

private class RecordedLinks(private val asked: MutableList<String>) : PeerLinks {
    override val selfId = "self"

    override fun send(instanceId: String, frame: Frame): Boolean = asked.add(instanceId)

    override fun onFrame(receiver: FrameReceiver) = Unit

    override fun onLinkLost(listener: (instanceId: String) -> Unit) = Unit
}
