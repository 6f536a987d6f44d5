package io.lavenderhinge.core.rollout

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import kotlin.math.ln
import kotlin.random.Random

private const val RUNS = 2_000

/** Bound of the tests: one run in 20 may reach evidence of 20. */
private const val FRACTION = 0.05

// Three standard deviations above the stated probability: 100 + 3 * sqrt(2000 * 0.05 * 0.95).
private const val MOST_ALARMS = 129

private fun draw(random: Random, requests: Long, rate: Double): Long =
    (1..requests).count { random.nextDouble() < rate }.toLong()

private fun alarm(seed: Int, rateAt: (Int) -> Pair<Double, Double>): Boolean {
    val random = Random(seed)
    val test = TwoSampleEvidence(0.002, 0.002, TestWindow(0, 400_000))
    return (1..200).any { round ->
        val (old, new) = rateAt(round)
        val block = Block(60, draw(random, 60, old), 12, draw(random, 12, new))
        test.observe(block, round * 2_000L)
        test.logEvidence >= ln(1 / FRACTION)
    }
}

private fun alarms(rateAt: (Int) -> Pair<Double, Double>) = (1..RUNS).count { alarm(it, rateAt) }

class TwoSampleEvidenceTest :
    FunSpec({
        test("given equal rates, when looked at after each block, then alarms stay in the bound") {
            alarms { 0.02 to 0.02 } shouldBeLessThanOrEqual MOST_ALARMS
        }

        // Guards against taking a fault of the platform, which hits both versions, for a bad one.
        test("given bursts that hit both versions, when judged, then alarms stay in the bound") {
            alarms { if (it % 20 < 3) 0.4 to 0.4 else 0.01 to 0.01 } shouldBeLessThanOrEqual
                MOST_ALARMS
        }

        test("given a fault that begins late, when judged, then it is found") {
            val found = (1..100).count { alarm(it) { r -> 0.01 to if (r < 150) 0.01 else 0.3 } }

            found.toDouble() shouldBeGreaterThan 95.0
        }

        test("given a fault after a burst that hit both, when judged, then it is found") {
            val rates = { r: Int ->
                if (r in 20..40) 0.4 to 0.4 else 0.01 to (if (r < 100) 0.01 else 0.3)
            }

            (1..100).count { alarm(it, rates) }.toDouble() shouldBeGreaterThan 95.0
        }
    })
