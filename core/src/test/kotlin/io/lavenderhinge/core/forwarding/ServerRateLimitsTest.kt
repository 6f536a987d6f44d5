package io.lavenderhinge.core.forwarding

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.doubles.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.lavenderhinge.core.ServerRun
import kotlin.random.Random

private const val CONTACT_TIMEOUT_MILLIS = 3_000L
private const val WINDOW_MILLIS = 4_000L
private const val END_MILLIS = 24_000L
private const val RESPONSE_MILLIS = 50L
private const val KNOWN_MILLIS = 500L
private const val REPORT_DELAY_MILLIS = 20L
private const val DEMAND_FACTOR = 10

class ServerRateLimitsTest :
    FunSpec({
        val run = ServerRun("s", startedMillis = 1)

        /**
         * Returns when the fleet sends to a server that states [perSecond] from the start, while
         * requests for ten times as much arrive at random instances.
         */
        fun sentMillis(
            instances: Int,
            reportMillis: Long,
            perSecond: Double,
            seed: Int,
            idleMillis: LongRange = LongRange.EMPTY,
        ) = buildList {
            val random = Random(seed)
            val time = VirtualTime()
            val fleet = List(instances) { ServerRateLimits(Random(seed * 1_000 + it)) }
            val knownSince = arrayOfNulls<Long>(instances)
            time.arrivals(DEMAND_FACTOR * perSecond, 0..END_MILLIS, random) { now ->
                if (now in idleMillis) return@arrivals
                val instance = random.nextInt(instances)
                if (fleet[instance].waitMillis(run, instances, now) > 0) return@arrivals
                fleet[instance].onSent(run, now)
                val known = knownSince[instance]
                if (known != null && now - known >= KNOWN_MILLIS) add(now)
                time.at(now + RESPONSE_MILLIS) {
                    fleet[instance].onStated(run, perSecond, it)
                    knownSince[instance] = knownSince[instance] ?: it
                }
            }
            fleet.forEachIndexed { from, limits ->
                val offsetMillis = random.nextLong(reportMillis)
                time.every(reportMillis, END_MILLIS) { now ->
                    time.at(now + offsetMillis) { sent ->
                        val reports = limits.reports(sent)
                        time.at(sent + REPORT_DELAY_MILLIS) { received ->
                            fleet.forEachIndexed { to, peer ->
                                if (to != from) peer.onPeerReport("$from", reports, received)
                            }
                        }
                    }
                }
            }
            time.run()
        }

        fun maxInWindow(sent: List<Long>): Int =
            sent
                .filter { it >= CONTACT_TIMEOUT_MILLIS }
                .let { counted ->
                    counted.maxOfOrNull { start ->
                        counted.count { it >= start && it < start + WINDOW_MILLIS }
                    } ?: 0
                }

        listOf(1 to 20L, 7 to 20L, 9 to 250L, 30 to 90L, 95 to 450L).forEach {
            (instances, reportMillis) ->
            listOf(0.4, 3.0, 12.0).forEach { perSecond ->
                // Guards against a limit that each instance keeps and their sum exceeds.
                test("given $instances instances, then a limit of $perSecond holds for the fleet") {
                    (1..5).forEach { seed ->
                        val sent = sentMillis(instances, reportMillis, perSecond, seed)

                        maxInWindow(sent).toDouble() shouldBeLessThanOrEqual
                            1.5 * perSecond * WINDOW_MILLIS / 1_000 + 5
                    }
                }
            }

            // Guards against instances that all use a token which each has saved up meanwhile.
            test("given $instances instances after a pause, then a limit holds for the fleet") {
                (1..5).forEach { seed ->
                    val sent = sentMillis(instances, reportMillis, 3.0, seed, 5_000L..15_000L)

                    maxInWindow(sent).toDouble() shouldBeLessThanOrEqual
                        1.5 * 3.0 * WINDOW_MILLIS / 1_000 + 5
                }
            }

            // Guards against a limited server that is hardly used, while requests wait.
            test("given $instances instances, then a limited server is used") {
                val sent = sentMillis(instances, reportMillis, perSecond = 12.0, seed = 1)
                val seconds = (END_MILLIS - CONTACT_TIMEOUT_MILLIS) / 1_000.0

                sent.count { it >= CONTACT_TIMEOUT_MILLIS } / seconds shouldBeGreaterThan 9.0
            }
        }

        test("given a response without a limit, then the server is no longer limited") {
            val limits = ServerRateLimits(Random(1))
            limits.onStated(run, 1.0, nowMillis = 0)

            limits.onStated(run, null, nowMillis = 10)

            limits.waitMillis(run, instanceCount = 1, nowMillis = 10) shouldBe 0.0
        }

        // Guards against a late report that brings a limit back which the server has lifted.
        test("given a peer's older statement, then the newer one holds") {
            val limits = ServerRateLimits(Random(1))
            limits.onStated(run, 1.0, nowMillis = 0)
            limits.onStated(run, null, nowMillis = 100)
            val old = RateLimitReport(run, limitPerSecond = 1.0, ageMillis = 60, sentCount = 3)

            limits.onPeerReport("p", listOf(old), nowMillis = 120)

            limits.perSecond(run) shouldBe null
        }

        test("given a peer that has met the limit, then it holds here too") {
            val limits = ServerRateLimits(Random(1))
            val report = RateLimitReport(run, limitPerSecond = 1.0, ageMillis = 10, sentCount = 3)

            limits.onPeerReport("p", listOf(report), nowMillis = 100)

            limits.perSecond(run) shouldBe 1.0
        }

        // Guards against reports that grow with the number of limited servers.
        test("given hundreds of limited servers, then each is reported in turn") {
            val limits = ServerRateLimits(Random(1))
            repeat(300) { limits.onStated(ServerRun("s$it", 1), 1.0, nowMillis = 0) }

            val reports = List(10) { limits.reports(nowMillis = 10) }

            reports.first() shouldHaveSize 64
            reports.flatten().map { it.run }.distinct() shouldHaveSize 300
        }

        // Guards against requests that wait for a limited server while another one is free.
        test("given a limited server and a free one, then requests go to the free one") {
            val dispatcher = Dispatcher("d", random = Random(1))
            dispatcher.onServers(listOf(server("a", slots = 9), server("b", slots = 9)), 0)
            dispatcher.onRateLimit(server("a"), limitPerSecond = 0.5, nowMillis = 0)

            val used =
                (1L..8L)
                    .flatMap { dispatcher.submit(request(it), nowMillis = it) }
                    .map { (it as DispatchEffect.Assign).server.id }

            used.filter { it == "a" }.size.toDouble() shouldBeLessThanOrEqual 1.0
            used shouldContain "b"
        }
    })
