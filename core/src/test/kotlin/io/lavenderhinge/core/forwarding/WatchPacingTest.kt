package io.lavenderhinge.core.forwarding

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe

class WatchPacingTest :
    FunSpec({
        fun bounds(applyMillis: Long, contactMillis: Long, drainMillis: Long) =
            PropagationBounds(applyMillis, contactMillis, drainMillis)

        // Guards against an unresponsive connection to the store that goes unnoticed for longer
        // than the deployment allows.
        listOf(1_500L, 3_000L, 5_000L, 10_000L).forEach { contactMillis ->
            test("given a contact timeout of $contactMillis ms, then a call ends within it") {
                val pacing = WatchPacing.of(bounds(2_000, contactMillis, 2_000))

                pacing.waitMillis + WatchPacing.RESPONSE_MILLIS shouldBeLessThan contactMillis
            }
        }

        // Guards against changes that are read so late that little of their bound is left.
        listOf(1_000L, 2_000L, 4_000L, 60_000L).forEach { boundMillis ->
            test("given a bound of $boundMillis ms, then the pause is a small part of it") {
                WatchPacing.of(bounds(boundMillis, 3_000, 60_000))
                    .pauseMillis shouldBeLessThanOrEqual boundMillis / 8
                WatchPacing.of(bounds(60_000, 3_000, boundMillis))
                    .pauseMillis shouldBeLessThanOrEqual boundMillis / 8
            }
        }

        // Guards against a call that hangs for longer than an evacuation may take.
        test("given a short bound for evacuations, then calls and pauses stay within it") {
            val pacing = WatchPacing.of(PropagationBounds(60_000, 10_000, 60_000, 3_000))

            pacing.waitMillis + 2 * WatchPacing.RESPONSE_MILLIS shouldBeLessThan 3_000
            pacing.pauseMillis shouldBeLessThanOrEqual 375
        }

        // Guards against a burst of changes that makes every instance call for each of them.
        test("given long bounds, then the pause stays below the age at which entries go unused") {
            WatchPacing.of(bounds(600_000, 3_000, 600_000)).pauseMillis shouldBe 500
        }
    })
