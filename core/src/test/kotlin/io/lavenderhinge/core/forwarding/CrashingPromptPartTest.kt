package io.lavenderhinge.core.forwarding

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import kotlin.random.Random

private const val CONTACT_TIMEOUT_MILLIS = 3_000L
/** Crashes after which the part has to be known. */
private const val CRASHES = 5
private const val MAX_FURTHER_SENDS = 3

/** Simulates requests with one prompt part that crashes every server which answers it. */
class CrashingPromptPartTest :
    FunSpec({
        fun simulate(instances: Int, servers: Int, reportMillis: Long, seed: Int): CrashResults =
            CrashSimulation(instances, servers, reportMillis, Random(seed))
                .run(
                    CrashTraffic(
                        soundPerSecond = 5.0 * servers,
                        crashingPerSecond = 6.0,
                        crashingMillis = 6_000L..30_000L,
                        untilMillis = 32_000,
                    )
                )

        fun CrashResults.detectionMillis() = crashedMillis.take(CRASHES).last()

        listOf(Triple(7, 8, 20L), Triple(95, 58, 450L)).forEach { (instances, servers, report) ->
            (1..3).forEach { seed ->
                val results by lazy { simulate(instances, servers, report, seed) }

                // Guards against servers that are crashed one after the other by one prompt part.
                test("given a part that crashes servers, $instances instances, seed $seed") {
                    val boundMillis = results.detectionMillis() + CONTACT_TIMEOUT_MILLIS

                    results.crashingSentMillis.count { it > boundMillis } shouldBeLessThanOrEqual
                        MAX_FURTHER_SENDS
                }

                // Guards against sound requests that suffer for parts they share with crashing
                // ones.
                test("given parts that sound requests share, $instances instances, seed $seed") {
                    val fromMillis = results.detectionMillis() + 2 * CONTACT_TIMEOUT_MILLIS
                    val later = results.soundBegan.filter { it.first > fromMillis }

                    later.count { it.second }.toDouble() / later.size shouldBeGreaterThan 0.5
                }
            }
        }
    })
