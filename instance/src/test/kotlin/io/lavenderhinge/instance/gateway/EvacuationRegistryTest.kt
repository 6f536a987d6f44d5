package io.lavenderhinge.instance.gateway

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import io.lavenderhinge.core.forwarding.ServerEntry
import io.lavenderhinge.core.port.Snapshot
import io.lavenderhinge.core.port.VersionedValue
import io.lavenderhinge.core.port.WatchResult
import io.lavenderhinge.platform.StoreRevision
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toImmutableList

class EvacuationRegistryTest :
    FunSpec({
        test("given a key with any value, then its domain is evacuated at the key's revision") {
            val registry = EvacuationRegistry { 0 }

            registry.onChanges(WatchResult(keys(7, "a" to "no json"), revision = 9))

            registry.state.domains shouldContainExactly setOf("a")
            registry.state.revision shouldBe 7
        }

        // Guards against instances that ask each other for copies of the same state, because each
        // has read the store at another moment.
        test("given snapshots of different moments, then the revision is that of the newest key") {
            val registries =
                listOf(20L, 35L).map { revision ->
                    EvacuationRegistry { 0 }.also { it.onSnapshot(snapshot(revision, "a", "b")) }
                }

            registries.map { it.state.revision } shouldBe listOf(1L, 1L)
            registries.map { it.state.readRevision } shouldBe listOf(20L, 35L)
        }

        test("given a removed key, then the revision rises and the domain is used again") {
            val registry = EvacuationRegistry { 0 }
            registry.onSnapshot(snapshot(20, "a"))

            registry.onChanges(
                WatchResult(persistentListOf(), 25, persistentListOf("op/evacuate/a"))
            )

            registry.state.domains shouldBe emptySet()
            registry.state.revision shouldBe 21
        }

        // Guards against a request that is lost when the store counts its revisions anew.
        test("given a store restored with a higher era, then its lower count is newer") {
            val registry = EvacuationRegistry { 0 }
            registry.onSnapshot(snapshot(StoreRevision.of(1, 900)))

            registry.onSnapshot(snapshot(StoreRevision.of(2, 5), "a"))

            registry.state.domains shouldContainExactly setOf("a")
        }

        // Guards against a delayed answer of the store before its restoration.
        test("given a newer era, when an answer of the era before is read, then it is ignored") {
            val registry = EvacuationRegistry { 0 }
            registry.onSnapshot(snapshot(StoreRevision.of(2, 5), "a"))

            registry.onSnapshot(snapshot(StoreRevision.of(1, 901)))

            registry.state.domains shouldContainExactly setOf("a")
        }

        test("given a store restored without the key, then its domain gets no requests at once") {
            var nowMillis = 0L
            val registry = EvacuationRegistry { nowMillis }
            registry.onSnapshot(snapshot(StoreRevision.of(1, 900), "d"))

            registry.onSnapshot(snapshot(StoreRevision.of(2, 5)))

            registry.allows(server) shouldBe false
            nowMillis = 10_000
            registry.allows(server) shouldBe true
        }

        // Guards against an instance that cut itself off and then believes a peer that is behind.
        test("given a peer's copy that is not newer, then it is ignored") {
            val registry = EvacuationRegistry { 0 }
            registry.onSnapshot(snapshot(20, "a"))

            registry.onPeerCopy("peer", emptySet(), revision = 20)

            registry.state.domains shouldContainExactly setOf("a")
        }

        // Guards against a starting instance that is ready before it knows the request.
        test("given no snapshot or copy, then the evacuations are not known") {
            val registry = EvacuationRegistry { 0 }
            val changes = mutableListOf<Boolean>()
            registry.onChange = { changes += registry.state.isKnown }
            registry.state.isKnown shouldBe false

            registry.onSnapshot(snapshot(3))

            changes shouldBe listOf(true)
        }
    })

private fun keys(version: Long, vararg values: Pair<String, String>) =
    values.map { VersionedValue("op/evacuate/${it.first}", it.second, version) }.toImmutableList()

private fun snapshot(revision: Long, vararg domains: String): Snapshot {
    val era = StoreRevision.era(revision)
    val version = StoreRevision.of(era, 1)
    return Snapshot(keys(version, *domains.map { it to "{}" }.toTypedArray()), revision)
}

private val server =
    ServerEntry(
        id = "i",
        service = "s",
        ip = "10.0.0.1",
        port = 80,
        failureDomain = "d",
        softwareVersion = "v1",
        slots = 1,
        acceptsWork = true,
        startedMillis = 1,
    )
