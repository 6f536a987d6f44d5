package io.lavenderhinge.core.forwarding

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.doubles.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe

class QuotaReturnTest :
    FunSpec({
        val tolerance = QuotaTolerance(8_000, overageFraction = 0.1, slack = 190_000.0)
        val quota = tokenQuota(ratePerSecond = 60_000.0, burst = 60_000.0)
        val workspace = workspace("w", quota = quota)
        val allowed = tolerance.allowedCost(quota)
        val endMillis = 30_000L

        fun simulate(
            instances: Int,
            faults: ReturnFaults = ReturnFaults(),
            givesBack: Boolean = true,
            seed: Int = 1,
        ) =
            QuotaReturnSimulation(
                    instances,
                    workspace,
                    tolerance,
                    refusedFraction = 0.6,
                    givesBack,
                    faults,
                    seed,
                )
                .run(perSecond = 90.0, endMillis)

        // Guards against a quota that is used up by requests that did not run.
        context("given requests that are refused, then others run within the quota") {
            withData(3, 9, 61) { instances ->
                val returned = simulate(instances)
                val kept = simulate(instances, givesBack = false)

                println(
                    "$instances: peak ${returned.peakCost()} of $allowed, " +
                        "ran ${returned.cost(0L..endMillis)}, kept ${kept.cost(0L..endMillis)}"
                )
                returned.peakCost() shouldBeLessThanOrEqual allowed
                returned.cost(0L..endMillis) shouldBeGreaterThan 1.6 * kept.cost(0L..endMillis)
            }
        }

        // Guards against returns that are counted twice, too early or for charges of nobody.
        context("given a fault, then what runs in each window stays within the bound") {
            val faults =
                listOf(
                    ReturnFaults(lostFraction = 0.5),
                    ReturnFaults(lostFraction = 0.95),
                    ReturnFaults(repeatedFraction = 0.5, maxDelayMillis = 400),
                    ReturnFaults(restartMillis = 1_700),
                    ReturnFaults(lostFraction = 0.3, restartMillis = 900, maxDelayMillis = 300),
                    ReturnFaults(partition = 6_000L..18_000L),
                )
            withData(listOf(3, 9).flatMap { size -> faults.map { size to it } }) { (size, fault) ->
                (1..3).forEach { seed ->
                    simulate(size, fault, seed = seed).peakCost() shouldBeLessThanOrEqual allowed
                }
            }
        }

        test("given a charge that is returned twice, then it counts once") {
            val limiter = QuotaLimiter(noTolerance)
            limiter.tryAdmit(workspace, cost = 50_000.0, nowMillis = 0)
            limiter.tryAdmit(workspace, cost = 50_000.0, nowMillis = 0)
            val charge = QuotaCharge("w", 50_000.0, chargedMillis = 0)

            limiter.giveBack(charge, nowMillis = 100) shouldBe true
            limiter.giveBack(charge, nowMillis = 100) shouldBe false

            limiter.returned shouldBe mapOf("w" to 50_000.0)
            limiter.level("w") shouldBe 10_000.0
        }

        fun peer(totals: Double, returned: Double, ageMillis: Long) =
            QuotaReport(1, ageMillis, mapOf("w" to totals), mapOf("w" to returned))

        fun limiterBeside(first: QuotaReport) =
            QuotaLimiter(noTolerance).apply {
                tick(setOf("p"), listOf(workspace), nowMillis = 0)
                onPeerReport("p", first, nowMillis = 0)
                tryAdmit(workspace, cost = 59_000.0, nowMillis = 0)
            }

        // Guards against a restarted instance that is given what it was never charged.
        test("given a long-running peer, then returns of its earlier charges do not count") {
            val limiter = limiterBeside(peer(90_000.0, 0.0, ageMillis = 60_000))

            limiter.onPeerReport("p", peer(90_000.0, 40_000.0, 61_000), nowMillis = 1_000)

            limiter.level("w") shouldBe 1_000.0
        }

        // Guards against a return that a repeated report or one that arrives late adds again.
        test("given reports that are repeated and late, then a return counts once") {
            val limiter = limiterBeside(peer(20_000.0, 0.0, ageMillis = 1_000))
            val levelMillis = 100L
            limiter.onPeerReport("p", peer(20_000.0, 20_000.0, 1_100), levelMillis)
            val level = limiter.level("w")

            limiter.onPeerReport("p", peer(20_000.0, 0.0, 1_050), levelMillis)
            limiter.onPeerReport("p", peer(20_000.0, 20_000.0, 1_100), levelMillis)

            limiter.level("w") shouldBe level
        }

        // Guards against a peer that states more than it was charged.
        test("given returns above the charges, then only the charges are given back") {
            val limiter = limiterBeside(peer(1_000.0, 0.0, ageMillis = 1_000))
            val level = limiter.level("w")

            limiter.onPeerReport("p", peer(1_000.0, 50_000.0, 1_100), nowMillis = 0)

            limiter.level("w") shouldBe level + 1_000.0
        }
    })
