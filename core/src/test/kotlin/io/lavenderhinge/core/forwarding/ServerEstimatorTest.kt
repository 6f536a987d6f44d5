package io.lavenderhinge.core.forwarding

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import kotlin.random.Random

/** Guards against estimates that hide why one server is a worse choice than another. */
class ServerEstimatorTest :
    FunSpec({
        val rateLimits = ServerRateLimits(Random(1))

        fun record(id: String = "a") = ServerRecord(server(id, slots = 2))

        val soundServers = listOf(record("b"), record("c"))

        fun estimate(
            record: ServerRecord,
            reservedSlots: Int = 0,
            failureDomain: String = "d",
            request: DispatchRequest = request(1),
            others: List<ServerRecord> = soundServers,
        ): ServerEstimate {
            val ejections = EjectionComparison(others)
            val statements = ServerStatements(drainMillis = 2_000)
            val capacity = ServerCapacity(rateLimits, statements, ejections)
            val slots = capacity.usableSlots(record, nowMillis = 0)
            val load =
                ServerLoad(record, ServerUse(0, 0.0), slots) {
                    capacity.limitWaitMillis(record, peerCount = 0, nowMillis = 0)
                }
            load.reservedSlots = reservedSlots
            return ServerEstimator(FirstEventModel(), ejections) { _, _ -> 400.0 }
                .estimate(load, request, 1_000.0, failureDomain, 0)
        }

        val idle = estimate(record())

        test("given requests in flight and reserved slots, then neither counts as free") {
            val busy = record().apply { inFlight = 1 }

            idle.load.freeSlots shouldBe 2
            estimate(busy).load.freeSlots shouldBe 1
            estimate(busy, reservedSlots = 1).load.freeSlots shouldBe 0
        }

        test("given a full server, then the time until a slot is free is added") {
            val full = record().apply { inFlight = 2 }

            estimate(full).expectedMillis shouldBeGreaterThan idle.expectedMillis + 200
        }

        test("given a server in another failure domain, then it counts as farther away") {
            estimate(record(), failureDomain = "e").expectedMillis shouldBeGreaterThan
                idle.expectedMillis
        }

        fun failing(id: String) =
            record(id).apply { observe(ServerOutcome.Failed, FirstEventModel(), nowMillis = 0) }

        test("given a server that fails requests, then repeated attempts are added") {
            estimate(failing("a")).expectedMillis shouldBeGreaterThan idle.expectedMillis
        }

        test("given servers that fail alike, then no repeated attempts are added") {
            val others = listOf(failing("b"), failing("c"))

            estimate(failing("a"), others = others).expectedMillis shouldBe idle.expectedMillis
        }

        test("given a deadline that the server would overrun, then the overrun is added") {
            val urgent = request(1, deadlineMillis = 10)

            estimate(record(), request = urgent).expectedMillis shouldBeGreaterThan
                idle.expectedMillis
        }

        test("given a stated limit that is used up, then no slot is free") {
            val limited = record("limited")
            rateLimits.onStated(limited.entry.run, perSecond = 1.0, nowMillis = 0)
            repeat(10) { rateLimits.onSent(limited.entry.run, nowMillis = 0) }

            estimate(limited).load.freeSlots shouldBe 0
        }
    })
