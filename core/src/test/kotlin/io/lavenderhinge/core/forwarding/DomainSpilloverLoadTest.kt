package io.lavenderhinge.core.forwarding

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.doubles.shouldBeBetween
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.doubles.shouldBeLessThan
import io.kotest.matchers.shouldBe

/** Simulates the demand of two failure domains with 40 slots each, or 160 at 325 instances. */
class DomainSpilloverLoadTest :
    FunSpec({
        fun simulate(instances: Int, endMillis: Long, loadOfA: Double, loadOfB: Double) =
            DomainSimulation(instances, listOf("a", "b"))
                .run(
                    listOf(
                        DomainTraffic("a", loadOfA, 0, endMillis),
                        DomainTraffic("b", loadOfB, 0, endMillis),
                    ),
                    endMillis,
                )

        // Guards against paying for traffic that helps nobody.
        context("given balanced domains, then under 2% of the requests leave") {
            withData(7, 61, 325) { instances ->
                val end = if (instances > 100) 5_000L else 12_000L

                val result = simulate(instances, end, loadOfA = 0.8, loadOfB = 0.8)

                listOf("a", "b").forEach { result.leftFraction(it, 0L..end) shouldBeLessThan 0.02 }
            }
        }

        // Guards against a share that is too small, too late, too large or unsteady.
        context("given twice the capacity beside an idle domain, then half leaves after 2 s") {
            withData(7, 61, 325) { instances ->
                val end = if (instances > 100) 5_000L else 12_000L

                val result = simulate(instances, end, loadOfA = 2.0, loadOfB = 0.0)

                val steady = 2_000L..end
                println(
                    "$instances instances: share ${result.share("a", steady)}, " +
                        "swing ${result.swing("a", steady)}, " +
                        "wait ${result.meanWaitMillis("a", steady)} ms, " +
                        "refused ${result.results.count { it.to == null }} " +
                        "of ${result.results.size}"
                )
                result.share("a", steady).shouldBeBetween(0.44, 0.6, 0.0)
                result.leftFraction("a", steady).shouldBeBetween(0.42, 0.6, 0.0)
                result.swing("a", steady) shouldBeLessThan 0.1
            }
        }

        // Guards against a queue at home while slots elsewhere are free.
        context("given room for the excess, then the wait at home ends") {
            withData(7, 61) { instances ->
                val result = simulate(instances, 8_000, loadOfA = 1.7, loadOfB = 0.0)

                result.meanWaitMillis("a", 2_000L..8_000L) shouldBeLessThan 200.0
                result.results.count { it.to == null } shouldBe 0
            }
        }

        // Guards against domains that exchange their overload.
        context("given two full domains, then nothing leaves") {
            withData(7, 61, 325) { instances ->
                val end = if (instances > 100) 3_000L else 8_000L

                val result = simulate(instances, end, loadOfA = 2.0, loadOfB = 2.0)

                listOf("a", "b").forEach {
                    result.leftFraction(it, 1_000L..end) shouldBeLessThan 0.01
                }
            }
        }

        // Guards against a share that stays and floods a domain whose own demand has come.
        context("given a peak that moves to the other domain, then its requests do not wait") {
            withData(7, 61) { instances ->
                val result =
                    DomainSimulation(instances, listOf("a", "b"))
                        .run(
                            listOf(
                                DomainTraffic("a", 1.7, 0, 4_000),
                                DomainTraffic("b", 0.1, 0, 4_000),
                                DomainTraffic("a", 0.5, 4_000, 9_000),
                                DomainTraffic("b", 0.8, 4_000, 9_000),
                            ),
                            untilMillis = 9_000,
                        )

                result.leftFraction("a", 2_000L..4_000L) shouldBeGreaterThan 0.3
                result.leftFraction("a", 5_000L..9_000L) shouldBeLessThan 0.02
                result.meanWaitMillis("b", 4_000L..9_000L) shouldBeLessThan 40.0
            }
        }

        // Guards against sending to a domain whose load is not known any more.
        test("given a domain whose reports are lost, then nothing leaves for it") {
            val result =
                DomainSimulation(
                        instances = 8,
                        listOf("a", "b"),
                        isConnected = { from, to, millis -> from == to || millis < 3_000 },
                    )
                    .run(listOf(DomainTraffic("a", 1.7, 0, 8_000)), untilMillis = 8_000)

            result.leftFraction("a", 2_000L..3_000L) shouldBeGreaterThan 0.3
            result.leftFraction("a", 5_000L..8_000L) shouldBe 0.0
        }
    })
