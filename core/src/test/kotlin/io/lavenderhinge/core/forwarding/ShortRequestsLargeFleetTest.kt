package io.lavenderhinge.core.forwarding

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.doubles.shouldBeLessThan

private const val INSTANCES = 61
private const val SERVERS = 2
private const val SLOTS = 6
private const val HOLD_MILLIS = 50.0

/**
 * Simulates a large fleet before a service whose requests take less time than the load reports of
 * the instances are apart.
 */
class ShortRequestsLargeFleetTest :
    FunSpec({
        val work =
            SimulatedWork(
                HOLD_MILLIS,
                HOLD_MILLIS,
                targetMillis = 200,
                patienceMillis = 1_200,
                deadlineMillis = 1_200,
            )
        val capacityPerSecond = SERVERS * SLOTS * 1_000 / HOLD_MILLIS

        fun run(load: Double, seed: Int): List<SimulatedResult> {
            val servers = List(SERVERS) { SimulatedServer("s-$it", SLOTS, slowness = 1.0) }
            val perSecond = load * capacityPerSecond / INSTANCES
            val traffic = List(INSTANCES) { SimulatedTraffic(it, 0, perSecond, 0, 10_000, work) }
            val reports = SimulatedReports.OnChange(pauseMillis = 180, delayMillis = 3)
            return LoadSimulation(INSTANCES, servers, reports)
                .run(traffic, untilMillis = 15_000, seed)
        }

        fun List<SimulatedResult>.fraction(predicate: (SimulatedResult) -> Boolean): Double =
            count(predicate).toDouble() / size

        listOf(0.4, 0.7).forEach { load ->
            (1..3).forEach { seed ->
                // Guards against instances that take requests for running or waiting long after
                // they have ended, and refuse what free servers could run.
                test("given a load of $load, then nothing is refused, seed $seed") {
                    val results = run(load, seed)

                    results.fraction { it.firstEventMillis == null } shouldBeLessThan 0.005
                    results.fraction {
                        it.firstEventMillis != null && it.firstEventMillis <= work.targetMillis
                    } shouldBeGreaterThan 0.95
                }
            }
        }

        (1..3).forEach { seed ->
            // Guards against a pool that runs less the more it is asked for.
            test("!given twice the capacity, then the servers are used, seed $seed") {
                val results = run(load = 2.0, seed)

                results.fraction { it.firstEventMillis != null } shouldBeGreaterThan 0.45
            }
        }
    })
