package io.lavenderhinge.core.forwarding

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.shouldBe

/**
 * Simulates rollouts of 12 s at the request rate of a small deployment. The operator requires that
 * a faulty version gets at most 10% of the requests plus 50, and that a good one completes in time.
 */
class ServiceRolloutTest :
    FunSpec({
        val seeds = 1..20

        /** Sizes of fleets and their requests per second; the large one is slow to simulate. */
        fun fleets(seed: Int) = listOfNotNull(3 to 45, 7 to 130, (95 to 250).takeIf { seed <= 2 })

        fun RolloutSimulation.shouldBeRolledBackInTime() {
            verdict shouldBe RolloutVerdict.ROLLED_BACK
            onTarget.toDouble() shouldBeLessThanOrEqualTo 0.1 * requests + 50
            onTargetAfterEnd shouldBe 0
        }

        // Guards against rolling back a good version.
        test("given a version that is as good, then it is completed before the deadline") {
            seeds.forEach { seed ->
                val rollout =
                    RolloutSimulation(seed = seed) { Behaviour(failureFraction = 0.01) }.run()

                rollout.verdict shouldBe RolloutVerdict.COMPLETED
                rollout.endedMillis!! shouldBeLessThan RolloutSimulation.DURATION_MILLIS
            }
        }

        test("given faults in both versions alike, then a good version is not rolled back") {
            seeds.forEach { seed ->
                val rollout =
                    RolloutSimulation(seed = seed, oldFailureFraction = 0.3) {
                            Behaviour(failureFraction = 0.3)
                        }
                        .run()

                rollout.verdict shouldBe RolloutVerdict.COMPLETED
            }
        }

        test("given a version that fails a third of the requests, then it is rolled back") {
            seeds.forEach { seed ->
                RolloutSimulation(seed = seed) { Behaviour(failureFraction = 0.33) }
                    .run()
                    .shouldBeRolledBackInTime()
            }
        }

        test("given a version that is four times slower, then it is rolled back") {
            seeds.forEach { seed ->
                RolloutSimulation(seed = seed) { Behaviour(slowness = 4.0) }
                    .run()
                    .shouldBeRolledBackInTime()
            }
        }

        // Guards against a slow version that is ordered before its predecessor's speed is known.
        listOf(0L, 1_000L, 4_000L).forEach { warmUpMillis ->
            test("given an order $warmUpMillis ms after the start, then a slow version is undone") {
                seeds.forEach { seed ->
                    RolloutSimulation(seed = seed, warmUpMillis = warmUpMillis) {
                            Behaviour(slowness = 4.0)
                        }
                        .run()
                        .shouldBeRolledBackInTime()
                }
            }

            test("given an order $warmUpMillis ms after the start, then a good one is completed") {
                seeds.forEach { seed ->
                    val rollout =
                        RolloutSimulation(seed = seed, warmUpMillis = warmUpMillis) {
                                Behaviour(failureFraction = 0.01)
                            }
                            .run()

                    rollout.verdict shouldBe RolloutVerdict.COMPLETED
                }
            }
        }

        // Guards against instances that each see too little of the old version to judge the new
        // one.
        test("given a large fleet and a version that is four times slower, then it is undone") {
            seeds.forEach { seed ->
                RolloutSimulation(
                        instanceCount = 95,
                        seed = seed,
                        requestsPerSecond = 250,
                        warmUpMillis = 4_000,
                    ) {
                        Behaviour(slowness = 4.0)
                    }
                    .run()
                    .shouldBeRolledBackInTime()
            }
        }

        test("given a version that fails on one route only, then it is rolled back") {
            seeds.forEach { seed ->
                RolloutSimulation(seed = seed) {
                        Behaviour(failureFraction = if (it.route == "r3") 0.6 else 0.01)
                    }
                    .run()
                    .shouldBeRolledBackInTime()
            }
        }

        test("given a version that fails after some seconds, then it is rolled back") {
            seeds.forEach { seed ->
                RolloutSimulation(seed = seed) {
                        Behaviour(failureFraction = if (it.atMillis > 4_000) 0.4 else 0.01)
                    }
                    .run()
                    .shouldBeRolledBackInTime()
            }
        }

        fun RolloutSimulation.shouldStayWithinLimit() =
            onTarget.toDouble() shouldBeLessThanOrEqualTo 0.1 * requests + 50

        // Guards against moving all requests while much of the time is left in which the version
        // may turn out to be faulty.
        listOf(0.5, 0.62, 0.7, 0.8, 0.87).forEach { onset ->
            test("given a version that fails after $onset of the time, then it is rolled back") {
                for (seed in seeds) for (fleet in fleets(seed)) {
                    RolloutSimulation(fleet.first, seed, requestsPerSecond = fleet.second) {
                            val isBad = it.atMillis > onset * RolloutSimulation.DURATION_MILLIS
                            Behaviour(failureFraction = if (isBad) 0.4 else 0.01)
                        }
                        .run()
                        .shouldBeRolledBackInTime()
                }
            }
        }

        test("given a version that is good until the end, then it gets no more than its limit") {
            for (seed in seeds) for (fleet in
                listOf(1 to 5, 3 to 16, 7 to 45, 7 to 130, 95 to 250)) {
                RolloutSimulation(fleet.first, seed, requestsPerSecond = fleet.second) {
                        Behaviour(failureFraction = 0.01)
                    }
                    .run()
                    .shouldStayWithinLimit()
            }
        }

        // Guards against an account that bears the usual rate of requests only.
        listOf(0.5, 0.8, 0.88, 0.92).forEach { start ->
            test("given a burst after $start of the time, then a version stays within its limit") {
                seeds.forEach { seed ->
                    val startMillis = start * RolloutSimulation.DURATION_MILLIS
                    RolloutSimulation(
                            seed = seed,
                            requestsPerSecond = 130,
                            rateFactor = { if (it > startMillis) 2.5 else 1.0 },
                        ) {
                            Behaviour(failureFraction = 0.01)
                        }
                        .run()
                        .shouldStayWithinLimit()
                }
            }
        }

        // Guards against instances that each spend the account of the whole fleet.
        listOf(1, 3, 6).forEach { cutInstances ->
            test(
                "given $cutInstances of 7 instances cut off, then a version stays within its limit"
            ) {
                for (seed in seeds) for (cutFromMillis in listOf(0L, 5_000L, 10_000L)) {
                    RolloutSimulation(
                            seed = seed,
                            requestsPerSecond = 130,
                            cutInstances = cutInstances,
                            cutFromMillis = cutFromMillis,
                        ) {
                            Behaviour(failureFraction = 0.01)
                        }
                        .run()
                        .shouldStayWithinLimit()
                }
            }
        }

        // Guards against instances that spend their part of the account again after a restart.
        test("given instances that start anew, then a version stays within its limit") {
            for (seed in seeds) for (firstMillis in listOf(1_000L, 6_000L, 10_500L)) {
                RolloutSimulation(
                        seed = seed,
                        requestsPerSecond = 130,
                        restartMillis = List(7) { firstMillis + it * 100 },
                    ) {
                        Behaviour(failureFraction = 0.01)
                    }
                    .run()
                    .shouldStayWithinLimit()
            }
        }

        test("given a version that fails under load only, then it is rolled back") {
            seeds.forEach { seed ->
                RolloutSimulation(seed = seed) {
                        Behaviour(failureFraction = if (it.targetFraction > 0.25) 0.4 else 0.01)
                    }
                    .run()
                    .shouldBeRolledBackInTime()
            }
        }

        // Guards against completing a rollout too early: servers of the old version stop on
        // completion and abort their requests in flight.
        test("given a request sent before the order, then the rollout waits for its end") {
            val tracker = RolloutTracker()
            val old = server("a").copy(softwareVersion = "v1")
            val order = RolloutOrder(old.service, "v2", durationMillis = 10_000, revision = 1)
            fun verdict() = tracker.verdicts(emptySet(), nowMillis = 9_700).getValue(order)
            repeat(2) { tracker.onRequestSent(old) }
            tracker.onOrder(order, nowMillis = 0)
            tracker.onRequestSent(old)
            tracker.advance(nowMillis = 9_200)
            tracker.advance(nowMillis = 9_700)

            repeat(2) {
                tracker.onRequestEnded(old, "r", ServerOutcome.Inconclusive, nowMillis = 9_700)
            }
            verdict() shouldBe RolloutVerdict.IN_PROGRESS
            tracker.onRequestEnded(old, "r", ServerOutcome.Inconclusive, nowMillis = 9_700)

            verdict() shouldBe RolloutVerdict.COMPLETED
        }

        // Guards against long requests at the old version that delay the completion.
        test("given requests that run long, then they move before the others") {
            val tracker = RolloutTracker()
            val old = server("a").copy(softwareVersion = "v1")
            val answer = ServerOutcome.Answered(100.0, 1_100.0, promptTokens = 1.0, events = 100)
            tracker.onOrder(RolloutOrder(old.service, "v2", 10_000, revision = 1), nowMillis = 0)
            for (atMillis in 0L..7_000L step 20) {
                tracker.onRequestSent(old)
                tracker.onRequestEnded(old, "r", answer, atMillis)
                if (atMillis % 100 == 0L) tracker.advance(atMillis)
            }

            fun isMoved(events: Double) = tracker.shouldUseTarget(old.service, "r", 1, events)
            repeat(30) { isMoved(events = 10.0) }

            isMoved(events = 115.0) shouldBe false
            isMoved(events = 125.0) shouldBe true
        }

        test("given a peer that does not report, then the rollout is not completed") {
            val rollout = ServiceRollout(RolloutOrder("s", "v2", 10_000, 1), nowMillis = 0) { 0 }

            rollout.advance(nowMillis = 9_200)
            rollout.advance(nowMillis = 9_700)

            rollout.verdict(setOf("p"), nowMillis = 9_700) shouldBe RolloutVerdict.IN_PROGRESS
        }

        // Guards against a restarted instance that ignores the state of its peers and, for example,
        // uses a version again that they have withdrawn.
        test("given an instance that starts later, then it continues at the stage of its peers") {
            val early = ServiceRollout(RolloutOrder("s", "v2", 10_000, 1), nowMillis = 0) { 0 }
            early.advance(nowMillis = 7_000)
            val late = ServiceRollout(RolloutOrder("s", "v2", 10_000, 1), nowMillis = 7_000) { 0 }

            late.onPeerReport("p", early.report(nowMillis = 7_000), nowMillis = 7_000)
            late.advance(nowMillis = 7_010)

            late.stage shouldBe RolloutStage.SHIFTED
        }
    })
