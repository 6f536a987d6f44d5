package io.lavenderhinge.instance.gateway

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import io.lavenderhinge.core.forwarding.ListSources
import io.lavenderhinge.core.forwarding.StoreContact
import io.lavenderhinge.core.port.Snapshot
import io.lavenderhinge.core.port.StoreFault
import io.lavenderhinge.core.port.WatchResult
import io.lavenderhinge.instance.control.ControlThread
import io.lavenderhinge.instance.peer.FrameReceiver
import io.lavenderhinge.instance.peer.PeerLinks
import io.lavenderhinge.protocol.v1.Frame
import io.lavenderhinge.protocol.v1.LoadReport
import kotlinx.collections.immutable.persistentListOf

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

        // Guards against peers that are behind as well and restart the grace period.
        test("a peer is asked in time while others are behind too") {
            val fixture = StateSyncFixture()

            for (atMillis in 1_000L until 1_400L step 100) {
                fixture.receiveNewerConfigurationReport(atMillis)
                fixture.receive(report("peer-2"), atMillis + 50)
            }
            fixture.receiveNewerConfigurationReport(atMillis = 1_400)

            fixture.requested.shouldContainExactly("peer-1")
        }

        // Guards against a server that leaves while the preferred watcher has lost the store.
        test("a follower asks the next watcher if the preferred one does not learn of a change") {
            val fixture = StateSyncFixture(ListSources(persistentListOf("w1", "w2", "w3")))
            fixture.servers.isFollowingPeers = true

            for (atMillis in 1_000L..1_300L step 100) {
                fixture.receive(report("w1", serverRevision = 0), atMillis)
                fixture.receive(report("w2", serverRevision = 9), atMillis + 10)
                fixture.receive(report("w3", serverRevision = 9), atMillis + 20)
            }
            fixture.requested.shouldBeEmpty()
            fixture.receive(report("w2", serverRevision = 9), atMillis = 1_410)

            fixture.requested.shouldContainExactly("w2")
        }

        test("a follower asks the preferred watcher at once") {
            val fixture = StateSyncFixture(ListSources(persistentListOf("w1", "w2")))
            fixture.servers.isFollowingPeers = true

            fixture.receive(report("w2", serverRevision = 9), atMillis = 1_000)
            fixture.receive(report("w1", serverRevision = 9), atMillis = 1_050)

            fixture.requested.shouldContainExactly("w1")
        }

        // Guards against a server that leaves while the store turns the watchers away.
        test("a watcher whose calls fail asks a peer at once") {
            val fixture = StateSyncFixture(ListSources(persistentListOf("w1")))
            fixture.receiveSnapshot(revision = 5, atMillis = 1_000)
            fixture.failCall(atMillis = 1_050)
            fixture.failCall(atMillis = 1_060)

            fixture.receive(report("w1", serverRevision = 9), atMillis = 1_100)

            fixture.requested.shouldContainExactly("w1")
        }

        test("a watcher of which one call has failed relies on the store") {
            val fixture = StateSyncFixture(ListSources(persistentListOf("w1")))
            fixture.receiveSnapshot(revision = 5, atMillis = 1_000)
            fixture.failCall(atMillis = 1_050)

            fixture.receive(report("w1", serverRevision = 9), atMillis = 1_100)

            fixture.requested.shouldBeEmpty()
            fixture.servers.isStoreLost shouldBe false
        }

        // Guards against calls that hang while a server leaves.
        test("a watcher that stays behind its peers asks one before its calls time out") {
            val fixture = StateSyncFixture(ListSources(persistentListOf("w1")))
            fixture.receiveSnapshot(revision = 5, atMillis = 1_000)

            for (atMillis in 1_100L..1_800L step 100) {
                fixture.receive(report("w1", serverRevision = 9), atMillis)
            }

            fixture.requested.shouldContainExactly("w1")
            fixture.servers.isStoreLost shouldBe true
        }

        // Guards against copies between watchers that know the same list by different revisions.
        test("a watcher that has read past the revision of a peer does not ask it") {
            val fixture = StateSyncFixture(ListSources(persistentListOf("w1")))
            fixture.receiveSnapshot(revision = 5, atMillis = 1_000)
            fixture.receiveNoChanges(revision = 12, atMillis = 1_100)

            for (atMillis in 1_200L..2_500L step 100) {
                fixture.receive(report("w1", serverRevision = 9), atMillis)
            }

            fixture.requested.shouldBeEmpty()
            fixture.servers.isStoreLost shouldBe false
        }
    })

private fun report(id: String, configurationVersion: Long = 0, serverRevision: Long = 0) =
    LoadReport.newBuilder()
        .setInstanceId(id)
        .setConfigurationVersion(configurationVersion)
        .setServerRevision(serverRevision)
        .build()

private class StateSyncFixture(sources: ListSources = ListSources()) {
    val requested = mutableListOf<String>()
    private var nowMillis = 0L
    val servers =
        ServerRegistry(ControlThread(), StoreContact(staleAfterMillis = 3_000), { nowMillis }) {}
    private val stateSync =
        PeerStateSync(
            RecordingLinks(requested),
            ConfigurationHolder(ReadinessGate(), confirmationValidMillis = 3_000),
            servers,
            EvacuationRegistry { nowMillis },
            watchPauseMillis = 250,
            nowMillis = { nowMillis },
            serverSources = { sources },
        )

    init {
        stateSync.start()
    }

    fun receiveNewerConfigurationReport(atMillis: Long) =
        receive(report("peer-1", configurationVersion = 7), atMillis)

    fun receiveSnapshot(revision: Long, atMillis: Long) {
        nowMillis = atMillis
        servers.onSnapshot(Snapshot(persistentListOf(), revision))
    }

    fun receiveNoChanges(revision: Long, atMillis: Long) {
        nowMillis = atMillis
        servers.onChanges(WatchResult(persistentListOf(), revision))
    }

    fun failCall(atMillis: Long) {
        nowMillis = atMillis
        servers.onStoreUnavailable(StoreFault.Unavailable("refused"))
    }

    fun receive(report: LoadReport, atMillis: Long) {
        nowMillis = atMillis
        stateSync.onReport(report)
    }
}

private class RecordingLinks(private val requested: MutableList<String>) : PeerLinks {
    override val selfId = "self"

    override fun send(instanceId: String, frame: Frame): Boolean = requested.add(instanceId)

    override fun onFrame(receiver: FrameReceiver) = Unit

    override fun onLinkLost(listener: (instanceId: String) -> Unit) = Unit
}
