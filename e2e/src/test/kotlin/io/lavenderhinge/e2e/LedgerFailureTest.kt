package io.lavenderhinge.e2e

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeIn
import io.kotest.matchers.shouldBe
import io.lavenderhinge.adapters.Json
import io.lavenderhinge.core.port.MemberKind
import io.lavenderhinge.e2e.fleet.Fleet
import io.lavenderhinge.e2e.fleet.FleetInstance
import io.lavenderhinge.e2e.fleet.awaitCondition
import io.lavenderhinge.e2e.fleet.bearerToken
import io.lavenderhinge.e2e.fleet.standardFleet
import io.lavenderhinge.http.HttpCallException
import io.lavenderhinge.http.HttpField
import io.lavenderhinge.http.HttpResponse
import io.lavenderhinge.standins.Faults
import java.util.UUID
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch

/**
 * Sends non-idempotent requests while the platform or instances fail. Guards against requests that
 * run twice and against the outcome `not-run` for a request that ran.
 */
class LedgerFailureTest :
    FunSpec({
        lateinit var fleet: Fleet
        beforeSpec { fleet = standardFleet() }
        afterSpec { fleet.close() }

        fun newKey() = "${System.currentTimeMillis() / 1_000}-${UUID.randomUUID()}"

        suspend fun reserve(
            instance: FleetInstance,
            key: String,
            body: Any = mapOf("shed" to 7),
        ): HttpResponse =
            instance.callerClient.call(
                "POST",
                "/booking/reserve",
                body,
                listOf(bearerToken("counter-key"), HttpField("Idempotency-Key", key)),
            )

        fun outcomeOf(response: HttpResponse): String =
            Json.mapper.readTree(response.body).path("outcome").asText()

        suspend fun runCountByKey(): Map<String, Int> =
            fleet.servers
                .filter { it.member.kind == MemberKind.PLAIN_SERVICE }
                .flatMap { it.client.callJson("GET", "/admin/record").toList() }
                .filter { it.path("operation").asText() == "/booking/reserve" }
                .groupingBy { it.path("key").asText() }
                .eachCount()

        test(
            "given a completed booking, when another instance gets it, then its answer is replayed"
        ) {
            val key = newKey()
            val first = reserve(fleet.instances[0], key)
            first.status shouldBe 200
            val second = reserve(fleet.instances[2], key)
            second.status shouldBe 200
            second.header("Idempotency-Replayed") shouldBe "true"
            String(second.body) shouldBe String(first.body)
            runCountByKey()[key] shouldBe 1
        }

        test("given a used key, when it arrives with another body, then the request is refused") {
            val key = newKey()
            reserve(fleet.instances[0], key).status shouldBe 200
            val other = reserve(fleet.instances[1], key, mapOf("shed" to 8))
            other.status shouldBe 422
            outcomeOf(other) shouldBe "not-run"
            runCountByKey()[key] shouldBe 1
        }

        test(
            "given concurrent requests with one key at all instances, then the booking runs once"
        ) {
            val key = newKey()
            val responses = coroutineScope {
                fleet.instances
                    .flatMap { i -> (0 until 3).map { async { reserve(i, key) } } }
                    .awaitAll()
            }
            runCountByKey()[key] shouldBe 1
            responses.map { it.status }.forEach { it shouldBeIn listOf(200, 409) }
        }

        test("given a platform outage, when booked, then the outcome is not-run and nothing ran") {
            fleet.platform.setFaults(Faults(outage = true))
            val key = newKey()
            val response = reserve(fleet.instances[0], key)
            response.status shouldBe 503
            outcomeOf(response) shouldBe "not-run"
            runCountByKey()[key] shouldBe null
            fleet.platform.setFaults(Faults())
            awaitCondition("bookings are accepted again") {
                reserve(fleet.instances[1], key).status == 200
            }
            runCountByKey()[key] shouldBe 1
        }

        test("given lost platform responses, when booked, then each booking runs at most once") {
            val keys = List(30) { newKey() }
            val responses = coroutineScope {
                launch {
                    repeat(10) {
                        fleet.platform.setFaults(Faults(loseAnswers = 2))
                        kotlinx.coroutines.delay(100)
                    }
                }
                keys
                    .mapIndexed { number, key ->
                        async { reserve(fleet.instances[number % 3], key) }
                    }
                    .awaitAll()
            }
            val runs = runCountByKey()
            keys.forEachIndexed { number, key ->
                val count = runs[key] ?: 0
                (count <= 1) shouldBe true
                if (responses[number].status == 200) count shouldBe 1
                if (responses[number].status != 200 && outcomeOf(responses[number]) == "not-run")
                    count shouldBe 0
            }
        }

        test("given killed and paused instances, when callers retry, then no booking runs twice") {
            val keys = List(40) { newKey() }
            coroutineScope {
                keys.forEachIndexed { number, key ->
                    launch {
                        repeat(3) { attempt ->
                            try {
                                reserve(fleet.instances[(number + attempt) % 3], key)
                            } catch (_: HttpCallException) {
                                // The instance is down; the caller retries at another one with the
                                // same key.
                            }
                        }
                    }
                }
                launch {
                    kotlinx.coroutines.delay(30)
                    fleet.instances[0].process.pause()
                    kotlinx.coroutines.delay(3_000)
                    fleet.instances[0].process.resume()
                    fleet.instances[1].process.kill()
                }
            }
            runCountByKey().filterValues { it > 1 } shouldBe emptyMap()
        }
    })
