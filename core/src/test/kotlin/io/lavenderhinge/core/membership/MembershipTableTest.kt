package io.lavenderhinge.core.membership

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.shouldBe
import io.lavenderhinge.core.port.ListedMember
import io.lavenderhinge.core.port.MemberKind
import kotlin.random.Random
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toImmutableList

private fun table() =
    MembershipTable(LocalInstance("i-1", "10.0.0.1:1", "a", 100), listOf(), 0, Random(1))

private fun instance(id: String, domain: String = "a", leaving: Boolean = false) =
    ListedMember(id, MemberKind.INSTANCE, "10.0.0.2:1", domain, "west", leaving)

private fun server(leaving: Boolean = false) =
    ListedMember("s-1", MemberKind.MODEL_ENGINE, "10.0.1.1:1", "a", "west", leaving, "m", "1")

private fun list(vararg members: ListedMember) =
    MembershipEvent.ListFetched(members.toList().toImmutableList())

private fun heartbeatOf(
    id: String,
    counter: Long,
    incarnation: Long = 1,
    leaving: Boolean = false,
    from: String = id,
) =
    MembershipEvent.HeartbeatsReceived(
        from,
        persistentListOf(Heartbeat(id, incarnation, counter, leaving, "10.0.0.2:1", "a")),
        replyWanted = false,
    )

private fun MembershipTable.stateOf(id: String) = instances.first { it.id == id }.state

class MembershipTableTest :
    FunSpec({
        test("given a silent instance, when time passes, then it is suspect and later dead") {
            val table = table()
            table.handle(list(instance("i-2")), 0)
            table.handle(MembershipEvent.Tick, 29_000)
            table.stateOf("i-2") shouldBe MemberState.LIVE
            table.handle(MembershipEvent.Tick, 30_000)
            table.stateOf("i-2") shouldBe MemberState.SUSPECT
            table.handle(MembershipEvent.Tick, 45_000)
            table.stateOf("i-2") shouldBe MemberState.DEAD
        }

        test("given a notice of a broken link, when it arrives, then the instance is probed") {
            val table = table()
            table.handle(heartbeatOf("i-2", 1), 0)
            val effects = table.handle(heartbeatOf("suspect/i-2", 0, from = "i-3"), 1_000)
            effects.map { (it as MembershipEffect.SendDigest).to } shouldBe listOf("i-2")
            table.stateOf("i-2") shouldBe MemberState.LIVE
        }

        test("given a broken link, when only relayed heartbeats arrive, then it is dead in 5 s") {
            val table = table()
            table.handle(heartbeatOf("i-2", 1), 0)
            table
                .handle(MembershipEvent.LinkLost("i-2"), 1_000)
                .shouldContain(
                    MembershipEffect.InstanceChanged("i-2", MemberState.LIVE, MemberState.SUSPECT)
                )
            table.handle(heartbeatOf("i-2", 2, from = "i-3"), 2_000)
            table.handle(MembershipEvent.Tick, 6_000)
            table.stateOf("i-2") shouldBe MemberState.DEAD
        }

        test("given a broken link, when the instance itself answers, then it is live again") {
            val table = table()
            table.handle(heartbeatOf("i-2", 1), 0)
            table.handle(MembershipEvent.LinkLost("i-2"), 1_000)
            table.handle(heartbeatOf("i-2", 2), 1_005)
            table.stateOf("i-2") shouldBe MemberState.LIVE
        }

        test("given an old heartbeat, when it arrives late, then its instance stays dead") {
            val table = table()
            table.handle(heartbeatOf("i-2", 7), 0)
            table.handle(heartbeatOf("i-2", 6), 44_000)
            table.handle(MembershipEvent.Tick, 45_000)
            table.stateOf("i-2") shouldBe MemberState.DEAD
        }

        test(
            "given an instance that left, when it returns before the list shows it, then it is live"
        ) {
            val table = table()
            table.handle(heartbeatOf("i-2", 1), 0)
            table.handle(heartbeatOf("i-2", 2, leaving = true), 100)
            table.stateOf("i-2") shouldBe MemberState.LEAVING
            table.handle(list(instance("i-2", leaving = true)), 200)
            table.handle(heartbeatOf("i-2", 1, incarnation = 2), 300)
            table.handle(list(instance("i-2", leaving = true)), 400)
            table.stateOf("i-2") shouldBe MemberState.LIVE
        }

        test("given an own heartbeat of a later start, when it arrives, then it is superseded") {
            val table = table()
            table.handle(heartbeatOf("i-1", 9, incarnation = 500, from = "i-2"), 0)
            table.heartbeats(0).first().incarnation shouldBe 501
        }

        test("given a live list that cannot be read, when polled, then known servers stay") {
            val table = table()
            table.handle(list(server()), 0)
            table.handle(MembershipEvent.ListFailed("timeout"), 2_000)
            table.servers.single().state shouldBe MemberState.LIVE
            table.listFault shouldBe "timeout"
        }

        test(
            "given a leaving instance, when it leaves, then every peer of its domain is notified"
        ) {
            val table = table()
            table.handle(list(instance("i-2"), instance("i-3"), instance("i-4", "b")), 0)
            val told = table.handle(MembershipEvent.LeaveRequested, 1)
            told.map { (it as MembershipEffect.SendDigest).to } shouldContainExactlyInAnyOrder
                listOf("i-2", "i-3")
            table.liveIn("a") shouldContainExactlyInAnyOrder listOf("i-2", "i-3")
        }

        test("given a lost domain, when its heartbeats are still relayed, then it stays lost") {
            val table = table()
            table.handle(list(instance("i-9", "b")), 0)
            val sign = Heartbeat("i-9", 1, 3, false, "10.0.0.2:1", "b")
            val relayed =
                heartbeatOf("i-9", 3, from = "i-2").copy(heartbeats = persistentListOf(sign))
            table.handle(relayed, 29_000)
            table.handle(MembershipEvent.Tick, 30_000)
            table.lostDomains() shouldBe setOf("b")
        }

        test("given a lost domain, when it is heard again, then it is live within 5 s") {
            val table = table()
            table.handle(list(instance("i-9", "b")), 0)
            table.handle(MembershipEvent.Tick, 30_000)
            table.lostDomains() shouldBe setOf("b")
            val event = heartbeatOf("i-9", 3)
            val sign = event.heartbeats.single().copy(failureDomain = "b")
            table.handle(event.copy(heartbeats = persistentListOf(sign)), 31_000)
            table.stateOf("i-9") shouldBe MemberState.SUSPECT
            table.handle(MembershipEvent.Tick, 36_000)
            table.stateOf("i-9") shouldBe MemberState.LIVE
        }

        listOf(
                ServerObservation.DRAINING to MemberState.LEAVING,
                ServerObservation.UNREACHABLE to MemberState.SUSPECT,
            )
            .forEach { (observation, state) ->
                test("given a server that is $observation, when seen, then it is $state at once") {
                    val table = table()
                    table.handle(list(server()), 0)
                    table.handle(MembershipEvent.ServerObserved("s-1", observation), 10)
                    table.servers.single().state shouldBe state
                }
            }

        test("given a server listed as leaving, when the list is read, then its home is notified") {
            val table = table()
            val peers = (2..9).map { instance("i-$it") }.toTypedArray()
            table.handle(list(server(), *peers), 0)
            val home = table.homeOf("s-1")
            val effects = table.handle(list(server(leaving = true), *peers), 2_000)
            effects.filterIsInstance<MembershipEffect.SendDigest>().map { it.to } shouldBe
                listOf(home)
        }
    })
