package io.lavenderhinge.core.forwarding

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeGreaterThan

/**
 * Simulates a large fleet: 80 instances whose load reports are 300 ms old when they arrive, before
 * servers that are half used.
 */
class DispatcherLargeFleetTest :
    FunSpec({
        // The first event is due within a second for 95 of 100 requests.
        val draft = SimulatedWork(800.0, 100.0, targetMillis = 1_000, patienceMillis = 4_000)

        fun run(seed: Int): List<SimulatedResult> {
            val servers = List(37) { SimulatedServer("s-$it", slots = 5, slowness = 1.0) }
            val traffic =
                List(80) { SimulatedTraffic(it, 0, perSecond = 115.0 / 80, 0, 15_000, draft) }
            return LoadSimulation(80, servers, SimulatedReports.Periodic(300))
                .run(traffic, untilMillis = 30_000, seed)
        }

        (1..3).forEach { seed ->
            // Guards against instances that all send to the server that was the best one in the
            // same old reports.
            test("given half of the capacity in use, then nearly all are on time, seed $seed") {
                val results = run(seed)

                results
                    .count {
                        it.firstEventMillis != null && it.firstEventMillis <= draft.targetMillis
                    }
                    .toDouble() / results.size shouldBeGreaterThan 0.95
            }
        }
    })
