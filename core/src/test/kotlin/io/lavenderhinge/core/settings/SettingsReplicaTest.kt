package io.lavenderhinge.core.settings

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlin.random.Random
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentSetOf

private fun replica(id: String = "i-1") = SettingsReplica(id, "a", 0, Random(1))

private fun text(revision: Long, team: String = "t", version: String = "1") =
    TeamText(team, revision, "[team]\nname = $team\n[model.m]\nversion = $version\n")

private fun listed(vararg texts: TeamText) = ReplicaEvent.Listed(persistentListOf(*texts))

private fun delta(vararg texts: TeamText) =
    ReplicaEvent.DeltaReceived("i-2", persistentListOf(*texts), persistentListOf())

private fun SettingsReplica.revisionOf(team: String) = current.teams[team]?.revision

/** Exchanges digests and texts between two replicas until neither sends more. */
private fun exchange(one: SettingsReplica, other: SettingsReplica, nowMillis: Long = 0) {
    val queue = ArrayDeque<Pair<SettingsReplica, ReplicaEvent>>()
    queue += one to ReplicaEvent.DigestReceived("o", other.summary(nowMillis, reply = true))
    repeat(100) {
        val (receiver, event) = queue.removeFirstOrNull() ?: return
        val sender = if (receiver === one) other else one
        receiver.handle(event, nowMillis).forEach { effect ->
            when (effect) {
                is ReplicaEffect.SendDigest ->
                    queue += sender to ReplicaEvent.DigestReceived("o", effect.digest)
                is ReplicaEffect.SendDelta ->
                    queue +=
                        sender to
                            ReplicaEvent.DeltaReceived(
                                "o",
                                persistentListOf(*effect.texts.toTypedArray()),
                                persistentListOf(*effect.wantedTeams.toTypedArray()),
                            )
                else -> Unit
            }
        }
    }
    error("the exchange does not end")
}

class SettingsReplicaTest :
    FunSpec({
        test("given a revision in force, when an older one arrives, then it stays in force") {
            val replica = replica()
            replica.handle(listed(text(5)), 0)
            replica.handle(delta(text(4)), 1) shouldBe emptyList()
            replica.handle(listed(text(3)), 2)
            replica.revisionOf("t") shouldBe 5
        }

        test("given an invalid text, when accepted, then the valid one stays and it is reported") {
            val replica = replica()
            replica.handle(listed(text(5)), 0)
            val effects = replica.handle(delta(text(6, version = "")), 1)
            effects.first().shouldBeInstanceOf<ReplicaEffect.Reject>().revision shouldBe 6
            replica.revisionOf("t") shouldBe 5
            replica.rejected shouldBe mapOf("t" to 6L)
            replica.handle(delta(text(6, version = "")), 2) shouldBe emptyList()
            replica.handle(delta(text(7)), 3)
            replica.rejected shouldBe emptyMap()
        }

        test("given an outage, when a ready peer confirms the tree, then a new instance is ready") {
            val old = replica("i-2")
            old.handle(listed(text(5), text(2, "u"), text(9, "u", version = "")), 0)
            val new = replica()
            new.handle(ReplicaEvent.PlatformFailed("refused"), 0)
            new.readiness().shouldBeInstanceOf<Readiness.NotReady>()
            exchange(new, old)
            new.handle(ReplicaEvent.DigestReceived("i-2", old.summary(1)), 1) shouldContain
                ReplicaEffect.BecameReady
            new.current shouldBe old.current
            new.rejected shouldBe mapOf("u" to 9L)
        }

        test("given an unready peer with the same tree, when it is heard, then neither is ready") {
            val replica = replica()
            replica.handle(ReplicaEvent.DigestReceived("i-2", replica("i-2").summary(0)), 0)
            replica.readiness().shouldBeInstanceOf<Readiness.NotReady>()
        }

        test("given a healed partition, when old changes differ, then both sides exchange them") {
            val one = replica()
            val other = replica("i-2")
            val teams = (1..300).map { text(1, "t$it") }.toTypedArray()
            one.handle(listed(*teams, text(8, "x"), text(3, "y")), 0)
            other.handle(listed(*teams, text(7, "x"), text(4, "y")), 0)
            exchange(one, other, nowMillis = 60_000)
            one.current shouldBe other.current
            one.revisionOf("x") shouldBe 8
            one.revisionOf("y") shouldBe 4
        }

        test("given a relay, when a change is watched, then it is pushed and the watch goes on") {
            val replica = replica()
            replica.handle(ReplicaEvent.InstancesChanged(persistentSetOf("i-1", "i-2")), 0)
            replica.handle(listed(text(5)), 600)
            val effects =
                replica.handle(ReplicaEvent.Watched(persistentListOf(text(6)), revision = 44), 700)
            effects shouldContain ReplicaEffect.SendDelta("i-2", listOf(text(6)), emptyList())
            effects shouldContain ReplicaEffect.WatchPlatform(44, 20_000)
        }

        test("given 64 instances, when a change is pushed along the tree, then it reaches all") {
            val instances = (1..64).map { "i-$it" }
            val relays = PushTree.relays("a", instances)
            val reached = relays.toMutableSet()
            val queue = ArrayDeque(relays)
            while (queue.isNotEmpty()) {
                val self = queue.removeFirst()
                val children = PushTree.children(self, relays, instances, "t", 7)
                queue += children.filter(reached::add)
            }
            reached shouldBe instances.toSet()
        }
    })
