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
                    loads.at(20_000, holdMillis = 20_000.0).useOf("s$number").inFlight shouldBe
                        uses.sumOf { it.inFlight }
                    loads.at(20_000, holdMillis = 20_000.0).useOf("s$number").pendingTokens shouldBe
                        (uses.sumOf { it.pendingTokens } plusOrMinus 0.001)
                }
            }
        }

        // Guards against short requests that count until their instance may report again, and
        // against long ones that do not count although their instance has nothing new to report.
        test("given requests shorter than the pause, then a report is left out for its rest") {
            val loads = PeerLoads()
            val queue = mapOf(QueueKey("s", 0) to QueueState(3, 100, isHeadLate = false))
            val report = LoadReport(mapOf("s0" to ServerUse(2, 5.0)), queue)
            repeat(61) { loads.update("p$it", LoadReport(emptyMap(), emptyMap()), nowMillis = 0) }
            loads.update("p0", report, nowMillis = 0)

            fun inFlightAt(nowMillis: Long, holdMillis: Double) =
                loads.at(nowMillis, holdMillis).useOf("s0").inFlight

            inFlightAt(50, holdMillis = 50.0) shouldBe 2
            inFlightAt(51, holdMillis = 50.0) shouldBe 0
            loads.at(51, holdMillis = 50.0).waiting("s", maxPriority = 0) shouldBe 0
            inFlightAt(210, holdMillis = 50.0) shouldBe 2
            inFlightAt(150, holdMillis = 300.0) shouldBe 2
        }

        test("given few peers, then reports always count") {
            val loads = PeerLoads()
            loads.update("p", LoadReport(mapOf("s0" to ServerUse(2, 5.0)), emptyMap()), 0)

            for (nowMillis in 0L..500 step 10) {
                loads.at(nowMillis, holdMillis = 40.0).useOf("s0").inFlight shouldBe 2
            }
        }
    })
