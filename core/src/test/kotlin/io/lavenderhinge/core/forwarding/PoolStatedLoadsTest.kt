package io.lavenderhinge.core.forwarding

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.doubles.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.lavenderhinge.core.ServerRun

class PoolStatedLoadsTest :
    FunSpec({
        val run = ServerRun("a", startedMillis = 0)

        fun record() = ServerRecord(server("a", slots = 4))

        fun loads(record: ServerRecord) =
            PoolStatedLoads(mapOf("a" to record), PoolFeatures(SchedulingFeatures()))

        fun load(factor: Double?, running: Int = 0) = StatedLoad(running, 0, 4, factor)

        fun PoolStatedLoads.factorAt(record: ServerRecord, nowMillis: Long) =
            factor(record, durationMillis = 0.0, nowMillis)

        // Guards against a late report that hides what the server has stated since.
        test("given an older figure of a peer, then the newer one holds") {
            val record = record()
            val loads = loads(record)
            loads.onStated(run, load(1.0), peerInFlight = 0, nowMillis = 1_000)

            loads.onPeerReport(StatedLoadReport(run, load(2.5), ageMillis = 50), nowMillis = 1_020)

            loads.factorAt(record, 1_020) shouldBe 1.0
        }

        // Guards against a figure that is used after the machine may have changed its speed.
        test("given a figure that gets old, then it counts less and less") {
            val record = record()
            val loads = loads(record)
            listOf(0L, 500L).forEach { loads.onStated(run, load(1.0), 0, it) }
            loads.onPeerReport(StatedLoadReport(run, load(2.5), ageMillis = 0), nowMillis = 1_000)

            loads.factorAt(record, 1_000) shouldBeGreaterThan 2.4
            loads.factorAt(record, 1_300) shouldBeLessThan 1.9
            loads.factorAt(record, 1_700) shouldBeLessThan 1.1
        }

        // Guards against a figure of a server's process that has ended.
        test("given a figure of another run, then it has no effect") {
            val record = record()
            val loads = loads(record)
            loads.onStated(run, load(1.0), 0, nowMillis = 0)

            loads.onStated(ServerRun("a", startedMillis = 9), load(2.5), 0, nowMillis = 10)

            loads.factorAt(record, 10) shouldBe 1.0
        }

        // Guards against a slowness that is stated and also learned.
        test("given a machine that is slow for a while, then its latency factor stays") {
            val model = FirstEventModel()
            val record = record()
            val loads = loads(record)
            val latencyFactors =
                (0L..200L).map { number ->
                    val sentMillis = number * 100
                    val factor = if (number / 6 % 6 == 0L) 2.5 else 1.0
                    loads.onStated(run, load(factor), 0, sentMillis)
                    val outcome = ServerOutcome.Answered(40 * factor, 90 * factor, 1_000.0, 20)
                    val work = loads.workTimeOf(record, outcome, sentMillis)
                    record.observe(outcome, model, sentMillis + 99, work)
                    record.latencyFactor
                }

            val learned = latencyFactors.drop(50)
            learned.max() / learned.min() shouldBeLessThan 1.25
            record.holdMillis shouldBeLessThan 100.0
        }

        // Guards against a wrong figure that keeps requests away from a server for good.
        test("given a figure that no longer changes and is contradicted, then it is ignored") {
            val ignored = mutableListOf<StatedLoadFault>()
            val record = record()
            val loads = loads(record).apply { onIgnored = { ignored += it.fault } }
            val model = FirstEventModel()
            (0L..100L).forEach { number ->
                val nowMillis = number * 100
                loads.onStated(run, load(if (number < 50) 1.0 else 2.5), 0, nowMillis)
                val outcome = ServerOutcome.Answered(40.0, 90.0, 1_000.0, 20)
                val work = loads.workTimeOf(record, outcome, nowMillis)
                loads.checked(record) { record.observe(outcome, model, nowMillis + 50, work) }
            }

            ignored shouldBe listOf(StatedLoadFault.STUCK)
            loads.factorAt(record, 10_000) shouldBeLessThan 2.0
        }

        test("given a figure that is missing after earlier ones, then this is counted") {
            val ignored = mutableListOf<StatedLoadFault>()
            val loads = loads(record()).apply { onIgnored = { ignored += it.fault } }
            loads.onStated(run, load(1.0), 0, nowMillis = 0)

            loads.onStated(run, load(null), 0, nowMillis = 10)

            ignored shouldBe listOf(StatedLoadFault.MISSING)
        }

        // Guards against requests that count twice, which leaves slots unused.
        test("given requests that peers report later, then they count once") {
            val record = record().apply { inFlight = 1 }
            val loads = loads(record)

            loads.onStated(run, load(1.0, running = 4), peerInFlight = 1, nowMillis = 0)

            loads.unreportedRequests(record, peerInFlight = 1, nowMillis = 0) shouldBe 2
            loads.unreportedRequests(record, peerInFlight = 3, nowMillis = 0) shouldBe 0
            loads.unreportedRequests(record, peerInFlight = 1, nowMillis = 600) shouldBe 0
        }

        test("given servers that state no figure, then their load has no effect") {
            val record = record()
            val loads = loads(record)

            loads.onStated(run, load(null, running = 4), peerInFlight = 0, nowMillis = 0)

            loads.unreportedRequests(record, peerInFlight = 0, nowMillis = 0) shouldBe 0
            loads.factorAt(record, 0) shouldBe 1.0
            loads.reports(0) shouldBe emptyList()
        }
    })
