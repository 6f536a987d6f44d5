package io.lavenderhinge.core.forwarding

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.doubles.shouldBeLessThan
import io.kotest.matchers.ranges.shouldBeIn

/**
 * Simulates a fleet at twice its capacity, of which one failure domain in three is emptied from 4 s
 * on and taken back at 9 s. Instances learn of both at different times.
 */
class EvacuationLoadTest :
    FunSpec({
        fun learnedMillis(instance: Int) = 4_000L + 40 * (instance % 10)

        fun endMillis(instance: Int) = 9_000L + 40 * (instance % 10)

        fun run(instances: Int, seed: Int): List<SimulatedResult> {
            val servers =
                List(SERVERS) { SimulatedServer("s-$it", SLOTS, 1.0, DOMAINS[it % DOMAINS.size]) }
            val traffic =
                List(instances) { SimulatedTraffic(it, 0, 2 * CAPACITY / instances, 0, 18_000) }
            val reports = SimulatedReports.OnChange(ReportPacing.pauseMillis(instances - 1), 2)
            val simulation = LoadSimulation(instances, servers, reports)
            repeat(instances) {
                simulation.evacuate(it, learnedMillis(it), EvacuationRead(setOf("d"), 1, 1))
                simulation.evacuate(it, endMillis(it), EvacuationRead(emptySet(), 2, 2))
            }
            return simulation.run(traffic, untilMillis = 25_000, seed)
        }

        listOf(7, 61).forEach { instances ->
            val results by lazy { run(instances, seed = 1) }
            fun sends(domain: String) =
                results.mapNotNull { it.send }.filter { it.failureDomain == domain }

            // Guards against a queued request that takes a slot in the domain after all.
            test("given $instances instances, then none sends there after it has learned of it") {
                sends("d")
                    .filter {
                        it.sentMillis in learnedMillis(it.instance) until endMillis(it.instance)
                    }
                    .shouldBeEmpty()
            }

            // Guards against slots of the other domains that stay idle because requests wait for
            // the evacuated servers.
            test("given $instances instances, then the other domains are fully used meanwhile") {
                val busyMillis =
                    results
                        .mapNotNull { it.send }
                        .filter { it.failureDomain != "d" }
                        .sumOf {
                            (minOf(it.endMillis, 9_000) - maxOf(it.sentMillis, 5_000))
                                .coerceAtLeast(0)
                        }
                val slotMillis = 4_000.0 * SERVERS * SLOTS * 2 / 3

                busyMillis / slotMillis shouldBeGreaterThan 0.85
            }

            // Guards against the queues of all instances meeting cold servers in one moment.
            test("given $instances instances, then the load of the domain returns gradually") {
                fun meanBusy(period: LongRange) =
                    sends("d").sumOf {
                        (minOf(it.endMillis, period.last) - maxOf(it.sentMillis, period.first))
                            .coerceAtLeast(0)
                    } / (period.last - period.first).toDouble()
                val usual = meanBusy(15_000L..18_000L)

                meanBusy(9_000L..10_000L) shouldBeLessThan usual * 0.2
                meanBusy(10_500L..12_000L) shouldBeIn usual * 0.25..usual * 0.8
                usual shouldBeGreaterThan SERVERS * SLOTS / DOMAINS.size * 0.85
            }
        }
    })

private val DOMAINS = listOf("d", "e", "f")
private const val SERVERS = 18
private const val SLOTS = 4
/** Requests per second that the servers can run. */
private const val CAPACITY = SERVERS * SLOTS / 0.4
