package io.lavenderhinge.core.forwarding

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe

class QuotaLimiterTest :
    FunSpec({
        val quota = tokenQuota(ratePerSecond = 1_000.0, burst = 1_000.0)
        val workspace = workspace("w", quota = quota)

        /** Total cost that [limiter] admits from requests of cost 100 every 10 ms. */
        fun admitted(limiter: QuotaLimiter, fromMillis: Long, untilMillis: Long): Double =
            (fromMillis until untilMillis step 10).sumOf {
                if (limiter.tryAdmit(workspace, cost = 100.0, nowMillis = it)) 100.0 else 0.0
            }

        test("given a workspace over its quota, then rate and burst limit the admitted cost") {
            val limiter = QuotaLimiter(noTolerance)

            admitted(limiter, 0, 8_000) shouldBeLessThanOrEqual 8 * 1_000.0 + 1_000
        }

        test("given a tolerance, then part of it is admitted above the quota") {
            val tolerance = QuotaTolerance(8_000, overageFraction = 0.1, slack = 8_000.0)
            val limiter = QuotaLimiter(tolerance)

            val admitted = admitted(limiter, 0, 8_000)

            (admitted > 8 * 1_000.0 + 1_000) shouldBe true
            admitted shouldBeLessThanOrEqual (8 * 1_000.0 + 1_000) * 1.1 + 8_000
        }

        test("given a report of a peer, then the cost it admitted is charged") {
            val limiter = QuotaLimiter(noTolerance)
            limiter.tick(setOf("p"), listOf(workspace), nowMillis = 0)
            limiter.onPeerReport(
                "p",
                QuotaReport(1, LONG_RUNNING_MILLIS, emptyMap()),
                nowMillis = 0,
            )

            limiter.onPeerReport(
                "p",
                QuotaReport(1, LONG_RUNNING_MILLIS, mapOf("w" to 5_000.0)),
                nowMillis = 10,
            )

            limiter.tryAdmit(workspace, cost = 1.0, nowMillis = 20) shouldBe false
        }

        // Guards against instances that start one after the other and each admit the full burst.
        test("given a newly started peer, then the cost before its first report is charged too") {
            val limiter = QuotaLimiter(noTolerance)
            limiter.tick(setOf("p"), listOf(workspace), nowMillis = 0)

            limiter.onPeerReport("p", QuotaReport(2, 300, mapOf("w" to 1_500.0)), nowMillis = 10)

            limiter.tryAdmit(workspace, cost = 1.0, nowMillis = 10) shouldBe false
        }

        test("given a long-running peer, then the cost before its first report is not charged") {
            val limiter = QuotaLimiter(noTolerance)
            limiter.tick(setOf("p"), listOf(workspace), nowMillis = 0)

            limiter.onPeerReport(
                "p",
                QuotaReport(2, LONG_RUNNING_MILLIS, mapOf("w" to 90_000.0)),
                nowMillis = 10,
            )

            limiter.tryAdmit(workspace, cost = 1.0, nowMillis = 10) shouldBe true
        }

        // Guards against rejections within the quota after a restart of all instances, when old
        // entries of the peers are still listed and no peer has reported yet.
        test("given a fresh start beside listed peers, then a share of the burst is admitted") {
            val limiter = QuotaLimiter(noTolerance)
            val peers = setOf("p1", "p2", "p3", "p4")
            limiter.tick(peers, listOf(workspace), nowMillis = 50_000)

            admitted(limiter, fromMillis = 50_000, untilMillis = 50_020) shouldBe 200.0
        }

        test("given first reports of idle peers, then the whole burst is admitted") {
            val limiter = QuotaLimiter(noTolerance)
            val peers = setOf("p1", "p2", "p3", "p4")
            limiter.tick(peers, listOf(workspace), nowMillis = 50_000)
            limiter.tick(peers, listOf(workspace), nowMillis = 50_200)

            peers.forEach { limiter.onPeerReport(it, QuotaReport(1, 200, emptyMap()), 50_200) }

            admitted(limiter, fromMillis = 50_200, untilMillis = 50_300) shouldBe 1_000.0
        }

        // Guards against each side of a network partition admitting the full quota.
        test("given two partitioned instances, then together they stay within the quota") {
            val one = QuotaLimiter(noTolerance)
            val other = QuotaLimiter(noTolerance)
            var admitted = 0.0
            for (millis in 0L until 20_000L step 200) {
                one.tick(setOf("other"), listOf(workspace), millis)
                other.tick(setOf("one"), listOf(workspace), millis)
                val counted =
                    admitted(one, millis, millis + 200) + admitted(other, millis, millis + 200)
                if (millis >= 12_000) admitted += counted
            }

            admitted shouldBeLessThanOrEqual 8 * 1_000.0 + 1_000
        }
    })

private const val LONG_RUNNING_MILLIS = 600_000L
