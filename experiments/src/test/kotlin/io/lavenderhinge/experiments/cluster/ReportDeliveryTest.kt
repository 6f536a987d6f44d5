package io.lavenderhinge.experiments.cluster

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldNotBeEmpty
import io.kotest.matchers.longs.shouldBeInRange
import io.kotest.matchers.shouldBe
import io.lavenderhinge.core.port.MemberKind
import io.lavenderhinge.experiments.scheduler.SchedulerEffect
import io.lavenderhinge.experiments.scheduler.SchedulerEvent

/** Guards the staleness of reports, without which every scheduler would perform well. */
class ReportDeliveryTest :
    FunSpec({
        val engineId = "engine-0"
        val watch = listOf(SchedulerEffect.WatchServers(setOf(engineId)))
        fun sendToEngine(instanceId: String, event: SchedulerEvent): List<SchedulerEffect> =
            when (event) {
                is SchedulerEvent.Started -> if (instanceId == "instance-0") watch else emptyList()
                is SchedulerEvent.RequestArrived ->
                    listOf(SchedulerEffect.Dispatch(event.request.id, engineId))
                else -> emptyList()
            }

        test(
            "given a watched engine, when it reports, then only its watcher gets the delayed report"
        ) {
            val fixture = ClusterFixture(script = ::sendToEngine)
            fixture.run(seconds = 10)

            val reports = fixture.received<SchedulerEvent.LoadReported>()
            reports.map { it.instanceId }.toSet() shouldBe setOf("instance-0")
            reports.forEach {
                val report = (it.event as SchedulerEvent.LoadReported).report
                report.ageMillis shouldBeInRange 100L..700L
            }
        }

        listOf(0.0 to false, 0.5 to true).forEach { (lossFraction, hasGaps) ->
            test("given a cache event loss of $lossFraction, when sent, then gaps are $hasGaps") {
                val settings = ReportSettings(cacheLossFraction = lossFraction)
                val fixture = ClusterFixture(settings, ::sendToEngine)
                repeat(30) {
                    fixture.submit("draft-drafting")
                    fixture.run(seconds = 1)
                }

                val sequences =
                    fixture.received<SchedulerEvent.CacheChanged>().flatMap { received ->
                        (received.event as SchedulerEvent.CacheChanged).events.map { it.sequence }
                    }
                sequences.shouldNotBeEmpty()
                sequences shouldBe sequences.sorted()
                sequences.zipWithNext().any { (one, next) -> next != one + 1 } shouldBe hasGaps
            }
        }

        test(
            "given a crashed server, when lists are sent, then it is missing only after the delay"
        ) {
            val fixture = ClusterFixture { _, _ -> emptyList() }
            fixture.run(seconds = 10)
            fixture.faults.crashServer(engineId)
            fixture.run(seconds = 20)

            val listsWithout =
                fixture.received<SchedulerEvent.MembersListed>().filter { received ->
                    (received.event as SchedulerEvent.MembersListed).members.none {
                        it.id == engineId && it.kind == MemberKind.MODEL_ENGINE
                    }
                }
            listsWithout.first().atMillis shouldBeInRange 15_000L..17_000L
        }

        test(
            "given a partitioned domain, when the list is sent, then its instances do not get it"
        ) {
            val fixture = ClusterFixture { _, _ -> emptyList() }
            fixture.faults.partitionDomain("domain-0")
            fixture.run(seconds = 20)

            fixture
                .received<SchedulerEvent.MembersListed>()
                .filter { it.instanceId == "instance-0" }
                .shouldBeEmpty()
        }
    })
