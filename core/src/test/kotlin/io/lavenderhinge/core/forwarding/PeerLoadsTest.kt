package io.lavenderhinge.core.forwarding

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.plusOrMinus
import io.kotest.matchers.shouldBe
import kotlin.random.Random

class PeerLoadsTest :
    FunSpec({
        fun report(random: Random) =
            LoadReport(
                (0..5)
                    .filter { random.nextBoolean() }
                    .associate { "s$it" to ServerUse(random.nextInt(1, 5), random.nextDouble()) },
                emptyMap(),
            )

        // Guards against totals that drift from the reports they are the sum of.
        (1..5).forEach { seed ->
            test("given replaced and expired reports, then totals are their sums, seed $seed") {
                val random = Random(seed)
                val loads = PeerLoads()
                val current = HashMap<String, Pair<LoadReport, Long>>()
                for (nowMillis in 0L until 20_000 step 10) {
                    val peer = "p${random.nextInt(20)}"
                    val report = report(random)
                    current[peer] = report to nowMillis
                    loads.update(peer, report, nowMillis)
                    loads.expire(nowMillis)
                    current.values.removeIf { (_, atMillis) -> nowMillis - atMillis > 1_200 }
                }

                (0..5).forEach { number ->
                    val uses =
                        current.values.mapNotNull { (report, _) -> report.servers["s$number"] }
                    loads.inFlight("s$number", sinceMillis = 0) shouldBe uses.sumOf { it.inFlight }
                    loads.pendingTokens("s$number", sinceMillis = 0) shouldBe
                        (uses.sumOf { it.pendingTokens } plusOrMinus 0.001)
                }
            }
        }

        // Guards against short requests that count until the next report of their instance.
        test("given a report from before a time, then it does not count since that time") {
            val loads = PeerLoads()
            val queue = mapOf(QueueKey("s", 0) to QueueState(3, 100, isHeadLate = false))
            loads.update("p", LoadReport(mapOf("s0" to ServerUse(2, 5.0)), queue), nowMillis = 100)

            loads.inFlight("s0", sinceMillis = 100) shouldBe 2
            loads.inFlight("s0", sinceMillis = 101) shouldBe 0
            loads.pendingTokens("s0", sinceMillis = 101) shouldBe 0.0
            loads.waiting("s", maxPriority = 0, sinceMillis = 100) shouldBe 3
            loads.waiting("s", maxPriority = 0, sinceMillis = 101) shouldBe 0
        }
    })
