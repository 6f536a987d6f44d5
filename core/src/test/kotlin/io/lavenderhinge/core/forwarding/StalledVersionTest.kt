package io.lavenderhinge.core.forwarding

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.shouldBe

/**
 * Guards against completing a rollout to a version whose streams hang, and against taking back a
 * version because its servers are silent for a second or so.
 */
class StalledVersionTest :
    FunSpec({
        val never = StreamPause(millis = 0, streamPercent = 0)

        fun StreamRolloutSimulation.shouldBeRolledBackInTime() {
            verdict shouldBe RolloutVerdict.ROLLED_BACK
            onTarget.toDouble() shouldBeLessThanOrEqualTo 0.1 * requests + 50
        }

        // Guards against streams that hang until their client leaves and count for nothing.
        listOf(30, 15).forEach { percent ->
            test("given a version that hangs $percent of 100 streams, then it is rolled back") {
                StreamRolloutSimulation(never, StreamPause(millis = null, percent))
                    .run()
                    .shouldBeRolledBackInTime()
            }
        }

        // Guards against counting a stalled stream only when its client leaves.
        test("given a short rollout, then a version that hangs is rolled back in time") {
            StreamRolloutSimulation(never, StreamPause(null, 30), durationMillis = 12_000)
                .run()
                .shouldBeRolledBackInTime()
        }

        test("given a large fleet, then a version that hangs is rolled back in time") {
            StreamRolloutSimulation(
                    never,
                    StreamPause(null, 30),
                    instanceCount = 95,
                    requestsPerSecond = 250,
                )
                .run()
                .shouldBeRolledBackInTime()
        }

        // Guards against instances that never learn how fast the old version answers, and therefore
        // compare no failures either.
        test("given few requests for each instance, then a version that hangs is rolled back") {
            StreamRolloutSimulation(
                    never,
                    StreamPause(null, 30),
                    instanceCount = 95,
                    requestsPerSecond = 50,
                )
                .run()
                .shouldBeRolledBackInTime()
        }

        listOf(1_000L, 1_600L).forEach { millis ->
            test("given streams of the new version that pause for $millis ms, then it completes") {
                StreamRolloutSimulation(never, StreamPause(millis, 30)).run().verdict shouldBe
                    RolloutVerdict.COMPLETED
            }
        }

        // Guards against blaming the new version for what both versions do.
        test("given streams of both versions that hang alike, then the new one completes") {
            val hanging = StreamPause(millis = null, streamPercent = 10)

            StreamRolloutSimulation(hanging, hanging).run().verdict shouldBe
                RolloutVerdict.COMPLETED
        }
    })
