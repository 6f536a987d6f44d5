package io.lavenderhinge.core.forwarding

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeLessThan
import io.kotest.matchers.longs.shouldBeGreaterThanOrEqual
import io.kotest.matchers.shouldBe

class ReportPacingTest :
    FunSpec({
        test("given a small fleet, then changes are reported within milliseconds") {
            ReportPacing.pauseMillis(peerCount = 0) shouldBe 15
            ReportPacing.pauseMillis(peerCount = 6) shouldBe 18
        }

        // Guards against instances that spend their time on datagrams in a large fleet.
        listOf(20, 60, 94).forEach { peerCount ->
            test("given $peerCount peers, then they send at most 350 reports a second") {
                val reportsPerSecond = peerCount * 1_000.0 / ReportPacing.pauseMillis(peerCount)

                reportsPerSecond shouldBeLessThan 350.0
            }
        }

        // Guards against reports that expire before the next one is sent.
        test("given any fleet, then the pause stays below the expiry of reports") {
            for (peerCount in 0..1_000) {
                500L shouldBeGreaterThanOrEqual ReportPacing.pauseMillis(peerCount)
            }
        }
    })
