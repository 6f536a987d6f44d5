package io.lavenderhinge.instance.gateway

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.shouldBe
import io.lavenderhinge.core.forwarding.StoreContact
import io.lavenderhinge.core.port.Snapshot
import io.lavenderhinge.core.port.StoreFault
import io.lavenderhinge.core.port.VersionedValue
import io.lavenderhinge.core.port.WatchResult
import io.lavenderhinge.instance.control.ControlThread
import io.lavenderhinge.platform.StoreRevision
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toImmutableList

/** Guards against server lists that go back in time or are announced without a change. */
class ServerRegistryTest :
    FunSpec({
        test("given a newer copy of a peer, when an older answer arrives, then it is ignored") {
            RegistryFixture().use { fixture ->
                fixture.registry.onPeerCopy(listOf(value("b")), revision = 100)

                fixture.registry.onSnapshot(snapshot(90, value("a"), value("b")))
                fixture.registry.onChanges(
                    WatchResult(persistentListOf(value("a")), 95, persistentListOf())
                )

                fixture.published shouldBe listOf("b")
            }
        }

        // Guards against peers that copy the list each time a server shows that it is alive.
        test("given an entry that is written without a change, then the revision stays") {
            RegistryFixture().use { fixture ->
                fixture.registry.onSnapshot(snapshot(10, value("a", sequence = 1)))

                fixture.registry.onChanges(
                    WatchResult(persistentListOf(value("a", sequence = 2)), 20, persistentListOf())
                )
                fixture.registry.revision shouldBe 10
                fixture.registry.onChanges(
                    WatchResult(persistentListOf(), 30, persistentListOf("servers/a"))
                )

                fixture.registry.revision shouldBe 30
                fixture.published shouldBe emptyList()
            }
        }

        test("given an instance that follows peers, then it takes their newer lists only") {
            RegistryFixture().use { fixture ->
                fixture.registry.onSnapshot(snapshot(10, value("a")))
                fixture.registry.onPeerCopy(listOf(value("c")), revision = 15)
                fixture.published shouldBe listOf("a")

                fixture.registry.isFollowingPeers = true
                fixture.registry.onPeerCopy(listOf(value("b")), revision = 20)
                fixture.registry.onPeerCopy(listOf(value("a")), revision = 12)

                fixture.published shouldBe listOf("b")
            }
        }

        // Guards against followers that drop a pool whose entries lapsed in an outage.
        test("given entries that lapsed in an outage, then peers get them from a watcher") {
            RegistryFixture().use { fixture ->
                fixture.registry.onSnapshot(snapshot(10, value("a"), value("b")))
                fixture.registry.onStoreUnavailable(StoreFault.Unavailable("down"))

                fixture.registry.onSnapshot(snapshot(20, value("b")))

                fixture.published shouldBe listOf("a", "b")
                fixture.registry.entries.keys shouldBe setOf("servers/a", "servers/b")
            }
        }

        // Guards against ignoring a store that counts its revisions from an older copy again.
        test("given a store that came back from a copy, then its list is applied") {
            RegistryFixture().use { fixture ->
                fixture.registry.onSnapshot(snapshot(StoreRevision.of(3, 35), value("a")))

                fixture.registry.onSnapshot(snapshot(StoreRevision.of(4, 21), value("b")))

                fixture.published shouldContain "b"
                fixture.registry.revision shouldBe StoreRevision.of(4, 21)
            }
        }

        // Guards against taking the first answer of a restored store for an ordinary one.
        test("given a peer that knew the restored store first, then missing entries are kept") {
            RegistryFixture().use { fixture ->
                val registry = fixture.registry
                registry.onSnapshot(snapshot(StoreRevision.of(3, 1), value("a"), value("new")))
                for (revision in 2L..12) {
                    fixture.nowMillis += 1_200
                    val written = persistentListOf(value("a"), value("new"))
                    registry.onChanges(WatchResult(written, StoreRevision.of(3, revision)))
                }
                registry.onStoreUnavailable(StoreFault.Unavailable("down"))
                registry.onStoreUnavailable(StoreFault.Unavailable("down"))
                registry.onPeerCopy(listOf(value("a"), value("new")), StoreRevision.of(4, 5))

                registry.onSnapshot(snapshot(StoreRevision.of(4, 5), value("a")))

                fixture.published shouldBe listOf("a", "new")
            }
        }

        // Guards against followers that drop servers which a restored store has forgotten.
        test("given a peer that keeps entries of a restored store, then a follower uses them") {
            RegistryFixture().use { fixture ->
                val registry = fixture.registry
                registry.onSnapshot(snapshot(StoreRevision.of(3, 5), value("a"), value("new")))
                registry.isFollowingPeers = true
                repeat(10) {
                    fixture.nowMillis += 400
                    registry.onPeerAnswer(fixture.nowMillis)
                }

                val copied = listOf(value("a"), value("new"))
                val keptMillis = mapOf("servers/new" to 2_000L)
                registry.onPeerCopy(copied, StoreRevision.of(4, 2), keptMillis)

                fixture.published shouldBe listOf("a", "new")
            }
        }

        test("given reports of many peers, then only some of the store's answers are recorded") {
            RegistryFixture().use { fixture ->
                fixture.registry.isNewPeerAnswer(answeredMillis = 100) shouldBe true
                fixture.registry.onPeerAnswer(answeredMillis = 100)

                fixture.registry.isNewPeerAnswer(answeredMillis = 299) shouldBe false
                fixture.registry.isNewPeerAnswer(answeredMillis = 300) shouldBe true
            }
        }

        test("given an entry that was removed, then peers do not get it") {
            RegistryFixture().use { fixture ->
                fixture.registry.onSnapshot(snapshot(10, value("a"), value("b")))

                fixture.registry.onSnapshot(snapshot(20, value("b")))

                fixture.registry.entries.keys shouldBe setOf("servers/b")
            }
        }
    })

private class RegistryFixture : AutoCloseable {
    private val control = ControlThread()
    var published = emptyList<String>()
    var nowMillis = 0L
    val registry =
        ServerRegistry(control, StoreContact(staleAfterMillis = 3_000), { nowMillis }) { servers ->
            published = servers.map { it.id }
        }

    override fun close() = control.close()
}

private fun snapshot(revision: Long, vararg values: VersionedValue) =
    Snapshot(values.toList().toImmutableList(), revision)

private fun value(id: String, sequence: Int = 1) =
    VersionedValue(
        "servers/$id",
        """{"service":"s","address":"10.0.0.9:8080","zone":"z","version":"v1","slots":5,
            "state":"ready","sequence":$sequence,"born":1700000000000}""",
        1,
    )
