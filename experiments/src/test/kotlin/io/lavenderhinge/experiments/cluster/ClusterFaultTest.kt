package io.lavenderhinge.experiments.cluster

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.lavenderhinge.core.port.EngineFault
import io.lavenderhinge.experiments.scheduler.SchedulerEffect
import io.lavenderhinge.experiments.scheduler.SchedulerEvent
import io.lavenderhinge.experiments.scheduler.ShedReason

/** Guards the fault events that schedulers receive, and the invariant checks. */
class ClusterFaultTest :
    FunSpec({
        fun sendTo(serverId: String): (String, SchedulerEvent) -> List<SchedulerEffect> =
            { _, event ->
                if (event is SchedulerEvent.RequestArrived)
                    listOf(SchedulerEffect.Dispatch(event.request.id, serverId))
                else emptyList()
            }

        test(
            "given a partition, when a message crosses it, then it is dropped and later ones arrive"
        ) {
            val fixture = ClusterFixture { instanceId, event ->
                if (instanceId == "instance-0" && event is SchedulerEvent.TimerFired)
                    listOf(SchedulerEffect.Send("instance-1", TextMessage(event.timerId)))
                else if (instanceId == "instance-0" && event is SchedulerEvent.Started)
                    listOf(
                        SchedulerEffect.SetTimer("during", 2_000),
                        SchedulerEffect.SetTimer("after", 8_000),
                    )
                else emptyList()
            }
            fixture.faults.partitionDomain("domain-0")
            fixture.run(seconds = 5)
            fixture.faults.healDomain("domain-0")
            fixture.run(seconds = 5)

            fixture
                .received<SchedulerEvent.MessageReceived>()
                .map { (it.event as SchedulerEvent.MessageReceived).message }
                .shouldContainExactly(TextMessage("after"))
            val lost =
                fixture.received<SchedulerEvent.PeerLost>().filter { it.instanceId == "instance-0" }
            lost
                .map { (it.event as SchedulerEvent.PeerLost).instanceId }
                .shouldContainExactlyInAnyOrder(listOf(1, 2, 4, 5, 7).map { "instance-$it" })
            val restored = fixture.received<SchedulerEvent.PeerRestored>()
            restored.count { it.instanceId == "instance-0" } shouldBe lost.size
        }

        test(
            "given a crashed server, when dispatched to, then nothing was sent and a retry succeeds"
        ) {
            val fixture = ClusterFixture { _, event ->
                when (event) {
                    is SchedulerEvent.RequestArrived ->
                        listOf(SchedulerEffect.Dispatch(event.request.id, "engine-0"))
                    is SchedulerEvent.Failed ->
                        listOf(SchedulerEffect.Dispatch(event.requestId, "engine-1"))
                    else -> emptyList()
                }
            }
            fixture.faults.crashServer("engine-0")
            fixture.submit("draft-drafting")
            fixture.run(seconds = 30)

            val failure = fixture.received<SchedulerEvent.Failed>().single().event
            (failure as SchedulerEvent.Failed).fault.shouldBeInstanceOf<EngineFault.NotSent>()
            val record = fixture.cluster.requests.records.single()
            record.outcome shouldBe Outcome.COMPLETED
            record.acceptedCount shouldBe 1
        }

        test("given streams across a partition, when it is detected, then they fail once") {
            val fixture = ClusterFixture(script = sendTo("engine-0"))
            repeat(20) { fixture.submit("summary-drafting") }
            fixture.faults.partitionDomain("domain-0")
            fixture.run(seconds = 130)

            fixture.cluster.requests.records
                .groupBy { it.outcome }
                .mapValues { (_, records) ->
                    records.map { fixture.cluster.network.member(it.entryId).failureDomain }.toSet()
                } shouldBe
                mapOf(
                    Outcome.COMPLETED to setOf("domain-0"),
                    Outcome.FAILED to setOf("domain-1", "domain-2"),
                )
        }

        test("given a crashed instance, when detected, then requests end and peers are notified") {
            val fixture = ClusterFixture(script = sendTo("engine-0"))
            repeat(20) { fixture.submit("summary-drafting") }
            fixture.run(seconds = 1)
            val active = fixture.cluster.requests.active.filter { it.entryId == "instance-0" }
            fixture.faults.crashInstance("instance-0")
            fixture.run(seconds = 1)

            active.map { it.outcome }.toSet() shouldBe setOf(Outcome.INSTANCE_LOST)
            fixture.received<SchedulerEvent.PeerLost>().size shouldBe 7
        }

        test("given a request in service, when dispatched again, then I1 is reported") {
            val fixture = ClusterFixture { _, event ->
                if (event is SchedulerEvent.RequestArrived)
                    List(2) { SchedulerEffect.Dispatch(event.request.id, "engine-$it") }
                else emptyList()
            }
            fixture.submit("draft-drafting")
            fixture.run(seconds = 30)

            fixture.cluster.violations.count(Invariant.AT_MOST_ONCE) shouldBe 1
        }

        listOf("summary-drafting" to 1, "draft-drafting" to 0).forEach { (served, violations) ->
            test("given $served in service, when a draft is shed, then I2 counts $violations") {
                var isShedding = false
                val fixture = ClusterFixture { _, event ->
                    when {
                        event !is SchedulerEvent.RequestArrived -> emptyList()
                        isShedding ->
                            listOf(SchedulerEffect.Refuse(event.request.id, ShedReason.QUEUE_FULL))
                        else -> listOf(SchedulerEffect.Dispatch(event.request.id, "engine-0"))
                    }
                }
                fixture.submit(served)
                fixture.loop.runUntil(500_000)
                isShedding = true
                fixture.submit("draft-drafting")
                fixture.run(seconds = 1)

                fixture.cluster.violations.count(Invariant.TOP_TIER_FIRST) shouldBe violations
            }
        }

        test(
            "given a lower stream that is suspended in time, when a draft is shed, then I2 holds"
        ) {
            var lower: String? = null
            val fixture = ClusterFixture { instanceId, event ->
                when {
                    event is SchedulerEvent.TimerFired ->
                        listOf(SchedulerEffect.Suspend("request-0"))
                    event !is SchedulerEvent.RequestArrived -> emptyList()
                    lower == null -> {
                        lower = instanceId
                        listOf(
                            SchedulerEffect.Dispatch(event.request.id, "engine-0"),
                            SchedulerEffect.SetTimer("suspend", 500),
                        )
                    }
                    else -> listOf(SchedulerEffect.Refuse(event.request.id, ShedReason.QUEUE_FULL))
                }
            }
            fixture.submit("summary-drafting")
            fixture.loop.runUntil(499_000)
            fixture.submit("draft-drafting")
            fixture.run(seconds = 1)

            fixture.received<SchedulerEvent.Suspended>().size shouldBe 1
            fixture.cluster.violations.count(Invariant.TOP_TIER_FIRST) shouldBe 0
        }
    })
