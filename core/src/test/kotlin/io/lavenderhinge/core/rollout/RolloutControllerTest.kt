package io.lavenderhinge.core.rollout

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeMonotonicallyIncreasing
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain as shouldContainText

class RolloutControllerTest :
    FunSpec({
        test("given a good version, when it is rolled out, then it passes all shares and is done") {
            val harness = ControllerHarness()

            harness.run(HOUR, harness.traffic()) { harness.phase() == RolloutPhase.DONE }

            harness.phase() shouldBe RolloutPhase.DONE
            harness.shares.distinct() shouldBe listOf(0.0, 0.01, 0.05, 0.25, 0.5, 1.0)
        }

        test("given a failing version, when it is rolled out, then it is undone with evidence") {
            val harness = ControllerHarness()

            harness.run(HOUR, harness.traffic(newErrors = 40)) {
                harness.phase() == RolloutPhase.UNDONE
            }

            harness.record()!!.evidence!!.reason shouldBe UndoReason.TEST
            harness.record()!!.evidence!!.detail shouldContainText "route draft, errors"
            harness.flags.single().version shouldBe "8"
            (harness.nowMillis < HOUR / 10) shouldBe true
        }

        // Guards against a rollout that hangs or restarts when its controller fails.
        for (phase in listOf(RolloutPhase.PLANNED, RolloutPhase.WARMING, RolloutPhase.MOVING)) {
            test("given a controller lost in $phase, when its lease ends, then another finishes") {
                val harness = ControllerHarness()
                harness.run(HOUR, harness.traffic()) { harness.phase() == phase }
                val holder = harness.record()!!.controllerId
                val share = harness.record()!!.shareFraction

                harness.pausedIds += holder
                harness.run(HOUR, harness.traffic()) { harness.phase() == RolloutPhase.DONE }

                harness.phase() shouldBe RolloutPhase.DONE
                (harness.record()!!.controllerId == holder) shouldBe false
                harness.shares.dropWhile { it < share }.shouldBeMonotonicallyIncreasing()
            }
        }

        test("given a controller paused past its lease, when it resumes, then its write fails") {
            val harness = ControllerHarness()
            harness.run(HOUR, harness.traffic()) { harness.phase() == RolloutPhase.MOVING }
            val holder = harness.record()!!.controllerId
            val old = harness.controllers.getValue(holder)
            val stale = harness.store.values.single()
            harness.pausedIds += holder
            harness.run(60_000, harness.traffic())
            val before = harness.store.values.single()

            // A write that was sent before the pause and arrives after it.
            val late = stale.record.copy(shareFraction = 1.0, phase = RolloutPhase.DONE)
            harness.write(ControllerEffect.WriteRecord(late, stale.version))
            val effects = old.on(ControllerEvent.Tick, harness.nowMillis)

            harness.store.values.single() shouldBe before
            old.holdsLease(harness.nowMillis) shouldBe false
            effects.filterIsInstance<ControllerEffect.WriteRecord>() shouldBe emptyList()
            effects.filterIsInstance<ControllerEffect.OrderLoad>() shouldBe emptyList()
        }

        test("given two controllers with a lease, when both write, then one drops its lease") {
            val harness = ControllerHarness()
            val lease = ControllerEvent.LeaseGranted("both", 0, HOUR)
            harness.controllers.values.forEach { it.on(lease, 0) }

            harness.run(HOUR / 2, harness.traffic()) { harness.phase() == RolloutPhase.MOVING }
            harness.run(20_000, harness.traffic())

            harness.controllers.values.count { it.holdsLease(harness.nowMillis) } shouldBe 1
            harness.shares.shouldBeMonotonicallyIncreasing()
        }

        test("given lost answers to all writes, when records are read, then no step repeats") {
            val harness = ControllerHarness()
            harness.faults.loseAnswers = true
            harness.faults.readEachStep = false

            harness.run(HOUR, harness.traffic()) { harness.phase() == RolloutPhase.DONE }

            harness.shares shouldBe listOf(0.0, 0.0, 0.01, 0.05, 0.25, 0.5, 1.0)
        }

        // Guards against a bad version that keeps its traffic because the record cannot be written.
        test("given the platform down, when a version turns bad, then a stop flag is raised") {
            val harness = ControllerHarness()
            harness.run(HOUR, harness.traffic()) { harness.phase() == RolloutPhase.MOVING }
            harness.faults.down = true
            harness.run(30_000, harness.traffic())
            harness.controllers.values.none { it.holdsLease(harness.nowMillis) } shouldBe true

            harness.run(120_000, harness.traffic(newErrors = 40)) { harness.flags.isNotEmpty() }

            harness.flags.size shouldBe 1
            harness.faults.down = false
            harness.run(60_000, harness.traffic(newErrors = 40))
            harness.phase() shouldBe RolloutPhase.UNDONE
        }

        test("given an outage, when the version is good, then the share holds and rises later") {
            val harness = ControllerHarness()
            harness.run(HOUR, harness.traffic()) { harness.record()?.shareFraction == 0.05 }
            harness.faults.down = true
            harness.run(300_000, harness.traffic())
            harness.record()!!.shareFraction shouldBe 0.05

            harness.faults.down = false
            harness.run(HOUR, harness.traffic()) { harness.phase() == RolloutPhase.DONE }

            harness.phase() shouldBe RolloutPhase.DONE
        }

        test("given a stop flag after done, when it is received, then the rollout is undone") {
            val harness = ControllerHarness()
            harness.run(HOUR, harness.traffic()) { harness.phase() == RolloutPhase.DONE }

            harness.flags += StopFlag("drafting", "8", planUnderTest.rolloutId, "seen by i7")
            harness.run(60_000)

            harness.record()!!.evidence shouldBe Evidence(UndoReason.STOP_FLAG, "seen by i7")
        }

        test("given an undone rollout, when the version recovers, then it stays undone") {
            val harness = ControllerHarness()
            harness.flags += StopFlag("drafting", "8", planUnderTest.rolloutId, "seen by i7")
            harness.run(60_000) { harness.phase() == RolloutPhase.UNDONE }

            harness.flags.clear()
            harness.run(HOUR / 2, harness.traffic())

            harness.phase() shouldBe RolloutPhase.UNDONE
        }

        test("given engines that ignore fencing numbers, when orders repeat, then all are loads") {
            val harness = ControllerHarness()

            harness.run(HOUR, harness.traffic()) { harness.phase() == RolloutPhase.DONE }

            harness.orders.map { it.version }.distinct() shouldBe listOf("8")
            (harness.orders.count { it.serverId == "e1" } > 1) shouldBe true
        }

        test("given engines with a higher fencing number, when they refuse, then it is raised") {
            val harness = ControllerHarness()
            harness.highestFencingNumber = 90

            harness.run(HOUR, harness.traffic()) { harness.phase() == RolloutPhase.DONE }

            harness.phase() shouldBe RolloutPhase.DONE
            (harness.orders.last().fencingNumber > 90) shouldBe true
        }

        test("given a route with too little traffic, when the deadline passes, then it is named") {
            val harness = ControllerHarness()
            val thin = harness.traffic(routes = listOf("draft"))
            var first = true
            harness.run(
                HOUR + 60_000,
                { controller ->
                    thin(controller)
                    val counts = RouteCounts(VersionCounts(3), VersionCounts(1))
                    val report = { step: Int ->
                        val byRoute =
                            kotlinx.collections.immutable.persistentMapOf("rare" to counts)
                        StatsReport(planUnderTest.rolloutId, step, "i2", byRoute)
                    }
                    if (first)
                        controller.on(ControllerEvent.StatsReceived(report(1)), harness.nowMillis)
                    if (harness.phase() == RolloutPhase.UNDONE) first = false
                },
            )

            val evidence = harness.record()!!.evidence!!
            evidence.reason shouldBe UndoReason.DEADLINE
            evidence.detail shouldContainText "rare (new 1, old 3)"
            harness.shares shouldContain 0.01
            harness.shares.max() shouldBe 0.01
        }

        test("given no weights, when the deadline passes, then the evidence names the version") {
            val harness = ControllerHarness()
            harness.weightsPresent = false

            harness.run(HOUR + 60_000)

            harness.record()!!.evidence!!.detail shouldContainText "does not have version 8"
        }

        test("given a rollout in progress, when the settings withdraw it, then it is undone") {
            val harness = ControllerHarness()
            harness.run(HOUR, harness.traffic()) { harness.phase() == RolloutPhase.MOVING }

            harness.plans = emptyList()
            harness.run(30_000)

            harness.record()!!.evidence!!.reason shouldBe UndoReason.WITHDRAWN
        }

        test("given a rollout in progress, when the new version changes, then it is undone first") {
            val harness = ControllerHarness()
            harness.run(HOUR, harness.traffic()) { harness.phase() == RolloutPhase.MOVING }

            harness.plans = listOf(planTo("9"))
            harness.run(HOUR, harness.traffic()) { harness.phase() == RolloutPhase.DONE }

            harness.record()!!.plan.toVersion shouldBe "9"
            withClue("version 8 must get no traffic before version 9 starts") {
                harness.shares.dropWhile { it == 0.0 }.take(2) shouldBe listOf(0.01, 0.0)
            }
        }

        test("given a share above the limit, when the unproved share is lowered, then it drops") {
            val harness = ControllerHarness()
            harness.run(HOUR, harness.traffic()) { harness.record()?.shareFraction == 0.05 }

            harness.plans = listOf(planTo("8", share = 0.02))
            harness.run(5_000)

            harness.record()!!.shareFraction shouldBe 0.02
        }

        test("given two rollouts of one target, when both are declared, then one waits") {
            val second = planTo("9", name = "next", deadlineMillis = 2 * HOUR)
            val harness = ControllerHarness(listOf(second, planUnderTest))

            harness.run(HOUR, harness.traffic()) { harness.phase() == RolloutPhase.MOVING }
            harness.record("next") shouldBe null
            harness.statements.getValue("next") shouldContainText "waits for drafting"

            harness.run(2 * HOUR, harness.traffic()) { harness.record("next") != null }
            harness.phase()!!.terminal shouldBe true
        }
    })
