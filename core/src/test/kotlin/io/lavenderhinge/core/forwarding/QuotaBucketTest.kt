package io.lavenderhinge.core.forwarding

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe

private const val BURST = 1_000.0
private const val RATE = 1_000.0

class QuotaBucketTest :
    FunSpec({
        fun bucket() = QuotaBucket(BURST, nowMillis = 0, windowMillis = 8_000)

        fun QuotaBucket.refillAt(millis: Long) = refill(RATE, BURST, millis, floor = -8_000.0)

        test("given an empty bucket, then a return gives back the whole cost") {
            val bucket = bucket()
            bucket.take(3_500.0)

            bucket.giveBack(500.0, takenMillis = null)

            bucket.level shouldBe -2_000.0
            bucket.windowCost shouldBe 3_000.0
        }

        test("given a full bucket, then a return does not raise it above its capacity") {
            val bucket = bucket()
            bucket.take(500.0)
            bucket.refillAt(1_000)

            bucket.giveBack(500.0, takenMillis = null)

            bucket.level shouldBe BURST
        }

        // Guards against a return that hides what ran later in the same window.
        test("given charges at two times, then a return leaves the window first") {
            val bucket = bucket()
            bucket.take(500.0)
            bucket.refillAt(2_000)
            bucket.take(500.0)
            bucket.giveBack(500.0, takenMillis = null)

            bucket.refillAt(8_200)

            bucket.windowCost shouldBe 500.0
        }
    })
