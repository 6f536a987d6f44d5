package io.lavenderhinge.core.rollout

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeGreaterThanOrEqual
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import kotlin.math.ln
import kotlin.random.Random

private const val RUNS = 2_000

/** Error probability of the test: one run in 20 may reach evidence of 20. */
private const val FRACTION = 0.05

// Three standard deviations above the expected 100 alarms: 100 + 3 * sqrt(2000 * 0.05 * 0.95).
private const val MOST_ALARMS = 129

private fun draw(random: Random, requests: Long, rate: Double): Long =
    (1..requests).count { random.nextDouble() < rate }.toLong()

/** Index of the first of 1,000 blocks at which the evidence reaches 20, or null. */
private fun firstAlarm(seed: Int, rateAt: (Int) -> Pair<Double, Double>): Int? {
    val random = Random(seed)
    val test = TwoSampleEvidence(0.002, 0.002, TestWindow(0, 2_000_000))
    return (1..1_000).firstOrNull { round ->
        val (old, new) = rateAt(round)
        val block = Block(60, draw(random, 60, old), 12, draw(random, 12, new))
        test.observe("draft", block, round * 2_000L)
        test.logEvidence >= ln(1 / FRACTION)
    }
}

private fun alarms(rateAt: (Int) -> Pair<Double, Double>) =
    (1..RUNS).count { firstAlarm(it, rateAt) != null }

private fun foundWithin(blocks: Int, begin: Int, rateAt: (Int) -> Pair<Double, Double>) =
    (1..100).count { seed ->
        firstAlarm(seed, rateAt)?.let { it in begin..(begin + blocks) } == true
    }

class TwoSampleEvidenceTest :
    FunSpec({
        test("given equal rates, when evaluated after each block, then alarms stay in the bound") {
            alarms { 0.02 to 0.02 } shouldBeLessThanOrEqual MOST_ALARMS
        }

        // Guards against blaming the new version for a platform fault that affects both versions.
        test("given bursts in both versions, when evaluated, then alarms stay in the bound") {
            alarms { if (it % 20 < 3) 0.4 to 0.4 else 0.01 to 0.01 } shouldBeLessThanOrEqual
                MOST_ALARMS
        }

        // Guards against early favorable evidence that delays the detection of a late fault.
        test("given a late fault, when evaluated, then it is detected within 6 blocks") {
            val found = foundWithin(6, begin = 900) { 0.01 to if (it < 900) 0.01 else 0.3 }

            found shouldBeGreaterThanOrEqual 90
        }

        test("given a fault after a burst in both versions, when evaluated, then it is detected") {
            val found =
                foundWithin(6, begin = 100) {
                    if (it in 20..40) 0.4 to 0.4 else 0.01 to (if (it < 100) 0.01 else 0.3)
                }

            found shouldBeGreaterThanOrEqual 90
        }
    })
