package io.lavenderhinge.core.forwarding

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeLessThanOrEqual
import kotlin.random.Random

private const val WINDOW_MILLIS = 8_000L
private const val REPORT_DELAY_MILLIS = 30L
private const val INSTANCES = 9
private const val REQUEST_COST = 4_000.0

/** Simulates a workspace that sends several times its quota while all instances restart. */
class QuotaRestartTest :
    FunSpec({
        val tolerance = QuotaTolerance(WINDOW_MILLIS, overageFraction = 0.1, slack = 190_000.0)
        val quota = tokenQuota(ratePerSecond = 60_000.0, burst = 60_000.0)
        val workspace = workspace("w", quota = quota)
        val allowed = tolerance.allowedCost(quota)

        /**
         * Total cost that the fleet admits in the window after a common restart. [backlog] requests
         * are waiting when the instances start, and [perSecond] arrive after that.
         */
        fun admittedCost(backlog: Int, perSecond: Int, random: Random): Double {
            val limiters = List(INSTANCES) { QuotaLimiter(tolerance) }
            val ids = List(INSTANCES) { "p$it" }
            var total = 0.0
            fun arrive(nowMillis: Long) {
                val limiter = limiters[random.nextInt(INSTANCES)]
                if (limiter.tryAdmit(workspace, REQUEST_COST, nowMillis)) total += REQUEST_COST
            }
            fun exchangeReports(nowMillis: Long) {
                val totals = limiters.map { it.totals.toMap() }
                limiters.forEachIndexed { to, limiter ->
                    ids.indices
                        .filter { it != to }
                        .forEach {
                            limiter.onPeerReport(
                                ids[it],
                                QuotaReport(1, nowMillis, totals[it]),
                                nowMillis,
                            )
                        }
                }
            }
            limiters.forEachIndexed { index, limiter ->
                limiter.tick((ids - ids[index]).toSet(), listOf(workspace), nowMillis = 0)
            }
            repeat(backlog) { arrive(nowMillis = 0) }
            for (millis in 1L until WINDOW_MILLIS) {
                if (random.nextInt(1_000) < perSecond) arrive(millis)
                if (millis % REPORT_DELAY_MILLIS == 0L) exchangeReports(millis)
            }
            return total
        }

        // Guards against instances that admit a backlog from full buckets before they hear of each
        // other, and then use the tolerance as well, which is meant to cover exactly this.
        (1..5).forEach { seed ->
            test("given a restart with a backlog, then the quota's bound holds, seed $seed") {
                val random = Random(seed)

                admittedCost(backlog = 200, perSecond = 60, random) shouldBeLessThanOrEqual allowed
            }
        }
    })
