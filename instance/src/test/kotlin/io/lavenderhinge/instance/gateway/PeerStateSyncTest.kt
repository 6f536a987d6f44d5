package io.lavenderhinge.instance.gateway

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import io.lavenderhinge.core.forwarding.ListSources
import io.lavenderhinge.core.forwarding.StoreContact
import io.lavenderhinge.core.port.Snapshot
import io.lavenderhinge.core.port.StoreFault
import io.lavenderhinge.core.port.VersionedValue
import io.lavenderhinge.core.port.WatchResult
import io.lavenderhinge.instance.control.ControlThread
import io.lavenderhinge.instance.peer.FrameReceiver
import io.lavenderhinge.instance.peer.PeerLinks
import io.lavenderhinge.protocol.v1.Frame
import io.lavenderhinge.protocol.v1.LoadReport
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toImmutableList

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

        // Guards against a server that leaves while the first link to a watcher is being opened.
        test("a follower opens the links to its first sources before it needs them") {
            val fixture = StateSyncFixture(ListSources(persistentListOf("w1", "w2", "w3")))

            fixture.openLinks()

            fixture.requested.shouldContainExactly("w1", "w2")
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

        // Guards against an instance that keeps sending to a domain because only its peers learn
        // of the request.
        test("an instance that has lost the store takes the evacuations from a peer at once") {
            val peer = StateSyncFixture()
            peer.evacuations.onSnapshot(evacuations(revision = 9, "a"))
            val cutOff = StateSyncFixture()
            cutOff.evacuations.onSnapshot(evacuations(revision = 5))
            cutOff.evacuations.onStoreUnavailable(StoreFault.Unavailable("refused"))

            cutOff.exchangeWith(peer, atMillis = 1_000)

            cutOff.evacuations.state.domains shouldContainExactly setOf("a")
            cutOff.evacuations.state.revision shouldBe 9
        }

        test("an instance whose store answers leaves it time to deliver the evacuations") {
            val peer = StateSyncFixture()
            peer.evacuations.onSnapshot(evacuations(revision = 9, "a"))
            val connected = StateSyncFixture()
            connected.evacuations.onSnapshot(evacuations(revision = 5))

            connected.exchangeWith(peer, atMillis = 1_000)
            connected.requested.shouldBeEmpty()
            connected.exchangeWith(peer, atMillis = 1_400)

            connected.evacuations.state.domains shouldContainExactly setOf("a")
        }

        test("a starting instance without the store takes the evacuations from a peer") {
            val peer = StateSyncFixture()
            peer.evacuations.onSnapshot(evacuations(revision = 9))
            val starting = StateSyncFixture()
            starting.evacuations.onStoreUnavailable(StoreFault.Unavailable("refused"))

            starting.exchangeWith(peer, atMillis = 1_000)

            starting.evacuations.state.isKnown shouldBe true
        }

        // Guards against a domain that stays empty because all peers started after its return.
        test("an instance cut off during an evacuation learns of its end from a younger peer") {
            val peer = StateSyncFixture()
            peer.evacuations.onSnapshot(evacuations(revision = 50))
            val cutOff = StateSyncFixture()
            cutOff.evacuations.onSnapshot(evacuations(revision = 9, "a"))
            cutOff.evacuations.onStoreUnavailable(StoreFault.Unavailable("refused"))

            cutOff.exchangeWith(peer, atMillis = 3_000)

            cutOff.evacuations.state.domains shouldBe emptySet()
        }

        test("an instance cut off from the store and all peers keeps the evacuations") {
            val cutOff = StateSyncFixture()
            cutOff.evacuations.onSnapshot(evacuations(revision = 9, "a"))

            cutOff.failCall(atMillis = 600_000)
            cutOff.evacuations.onStoreUnavailable(StoreFault.Unavailable("refused"))

            cutOff.evacuations.state.isEvacuated("a", nowMillis = 600_000) shouldBe true
        }

        test("a peer that does not know the evacuations yet changes nothing") {
            val peer = StateSyncFixture()
            val cutOff = StateSyncFixture()
            cutOff.evacuations.onSnapshot(evacuations(revision = 9, "a"))
            cutOff.evacuations.onStoreUnavailable(StoreFault.Unavailable("refused"))

            cutOff.exchangeWith(peer, atMillis = 3_000)

            cutOff.requested.shouldBeEmpty()
            cutOff.evacuations.state.domains shouldContainExactly setOf("a")
        }

        // Guards against followers that use a server for longer than the watcher that kept it, and
        // against copies that cannot be told from a list of the store.
        test("a follower uses the servers that a watcher keeps after an outage for the same time") {
            val watcher = StateSyncFixture()
            watcher.receiveSnapshot(revision = 5, atMillis = 1_000, "a", "b")
            watcher.failCall(atMillis = 2_000)
            watcher.receiveSnapshot(revision = 9, atMillis = 8_000, "b")
            val follower = StateSyncFixture(ListSources(persistentListOf("peer-1")))
            follower.receiveSnapshot(revision = 9, atMillis = 8_200, "b")
            follower.servers.isFollowingPeers = true
            watcher.receiveSnapshot(revision = 10, atMillis = 8_600, "b")

            follower.exchangeWith(watcher, atMillis = 8_700)

            follower.servers.ids shouldContainExactly listOf("b", "a")
            follower.servers.keptMillis() shouldBe mapOf("servers/a" to 1_500L)
        }

        // Guards against a watcher that was cut off alone and brings back a server that has left.
        test("a follower does not use a server that only a watcher without the store has kept") {
            val watcher = StateSyncFixture()
            watcher.receiveSnapshot(revision = 5, atMillis = 1_000, "a", "b")
            watcher.failCall(atMillis = 2_000)
            val follower = StateSyncFixture(ListSources(persistentListOf("peer-1")))
            follower.receiveSnapshot(revision = 5, atMillis = 1_000, "a", "b")
            follower.receiveHeartbeats(revision = 6, atMillis = 1_100, "a", "b")
            follower.receiveHeartbeats(revision = 7, atMillis = 2_300, "a", "b")
            follower.servers.isFollowingPeers = true
            for (atMillis in 2_400L..8_200L step 200) follower.servers.onPeerAnswer(atMillis)
            watcher.receiveSnapshot(revision = 9, atMillis = 8_000, "b")
            watcher.servers.ids shouldContainExactly listOf("a", "b")

            follower.exchangeWith(watcher, atMillis = 8_200)

            follower.servers.ids shouldContainExactly listOf("b")
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

private fun evacuations(revision: Long, vararg domains: String) =
    Snapshot(
        domains.map { VersionedValue("op/evacuate/$it", "{}", revision) }.toImmutableList(),
        revision,
    )

private const val SERVER_ENTRY =
    """{"service":"s","address":"10.0.0.9:8080","zone":"z","version":"v1","slots":5,
        "state":"ready","sequence":1,"born":1700000000000}"""

private class StateSyncFixture(sources: ListSources = ListSources()) {
    val requested = mutableListOf<String>()
    private var nowMillis = 0L
    val servers =
        ServerRegistry(ControlThread(), StoreContact(staleAfterMillis = 3_000), { nowMillis }) {}
    val evacuations = EvacuationRegistry { nowMillis }
    private val links = RecordingLinks(requested)
    private val stateSync =
        PeerStateSync(
            links,
            ConfigurationHolder(ReadinessGate(), confirmationValidMillis = 3_000),
            servers,
            evacuations,
            watchPauseMillis = 250,
            nowMillis = { nowMillis },
            serverSources = { sources },
        )

    init {
        stateSync.start()
    }

    fun receiveNewerConfigurationReport(atMillis: Long) =
        receive(report("peer-1", configurationVersion = 7), atMillis)

    fun receiveSnapshot(revision: Long, atMillis: Long, vararg serverIds: String) {
        nowMillis = atMillis
        servers.onSnapshot(Snapshot(values(revision, serverIds), revision))
    }

    fun receiveHeartbeats(revision: Long, atMillis: Long, vararg serverIds: String) {
        nowMillis = atMillis
        servers.onChanges(WatchResult(values(revision, serverIds), revision))
    }

    private fun values(revision: Long, serverIds: Array<out String>) =
        serverIds.map { VersionedValue("servers/$it", SERVER_ENTRY, revision) }.toImmutableList()

    fun receiveNoChanges(revision: Long, atMillis: Long) {
        nowMillis = atMillis
        servers.onChanges(WatchResult(persistentListOf(), revision))
    }

    fun openLinks() = stateSync.openLinksToSources()

    fun failCall(atMillis: Long) {
        nowMillis = atMillis
        servers.onStoreUnavailable(StoreFault.Unavailable("refused"))
    }

    /** Receives a report of [peer] and its answer to the request, if there is one. */
    fun exchangeWith(peer: StateSyncFixture, atMillis: Long) {
        peer.nowMillis = atMillis
        val revision = peer.evacuations.state.revision
        val report =
            report("peer-1", serverRevision = peer.servers.revision)
                .toBuilder()
                .setEvacuationRevision(revision)
                .build()
        val sentBefore = links.sent.size
        if (stateSync.isConcernedBy(report)) receive(report, atMillis)
        links.sent.drop(sentBefore).forEach { request ->
            peer.links.receiver.receive("self", request)
            links.receiver.receive("peer-1", peer.links.sent.last())
        }
    }

    fun receive(report: LoadReport, atMillis: Long) {
        nowMillis = atMillis
        stateSync.onReport(report)
    }
}

private class RecordingLinks(private val requested: MutableList<String>) : PeerLinks {
    override val selfId = "self"
    val sent = mutableListOf<Frame>()
    lateinit var receiver: FrameReceiver

    override fun send(instanceId: String, frame: Frame): Boolean {
        sent += frame
        return requested.add(instanceId)
    }

    override fun onFrame(receiver: FrameReceiver) {
        this.receiver = receiver
    }

    override fun onLinkLost(listener: (instanceId: String) -> Unit) = Unit
}
