package io.lavenderhinge.e2e

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.lavenderhinge.adapters.Json
import io.lavenderhinge.e2e.fleet.Fleet
import io.lavenderhinge.e2e.fleet.bearerToken
import io.lavenderhinge.e2e.fleet.chatRequest
import io.lavenderhinge.e2e.fleet.outputTokens
import io.lavenderhinge.e2e.fleet.standardFleet
import io.lavenderhinge.http.HttpResponse
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope

/**
 * Sends requests to a fleet of real processes. Guards against responses that are truncated, lost or
 * sent to another caller.
 */
class ServingTest :
    FunSpec({
        lateinit var fleet: Fleet
        beforeSpec { fleet = standardFleet() }
        afterSpec { fleet.close() }

        test(
            "given concurrent short and long requests, then each caller gets its complete response"
        ) {
            coroutineScope {
                (0 until 60)
                    .map { number ->
                        async {
                            val count = if (number % 10 == 0) 200 else 2 + number % 5
                            val body = chatRequest("caller$number", count, stream = number % 2 == 0)
                            val instance = fleet.instances[number % fleet.instances.size]
                            val response =
                                instance.callerClient.call(
                                    "POST",
                                    "/v1/chat/completions",
                                    body,
                                    listOf(bearerToken("counter-key")),
                                )
                            response.status shouldBe 200
                            outputTokens(response, streamed = number % 2 == 0) shouldBe
                                (0 until count).map { "caller$number:$it" }
                        }
                    }
                    .awaitAll()
            }
        }

        test("given a plain service, when it is called, then its response is passed through") {
            val response =
                fleet.instances[0]
                    .callerClient
                    .call(
                        "GET",
                        "/booking/stock?yard=7",
                        headers = listOf(bearerToken("counter-key")),
                    )
            response.status shouldBe 200
            Json.mapper.readTree(response.body).path("path").asText() shouldBe "/booking/stock"
        }

        test("given an unknown credential, when called, then the problem has code and outcome") {
            val response: HttpResponse =
                fleet.instances[0]
                    .callerClient
                    .call("GET", "/booking/stock", headers = listOf(bearerToken("no")))
            response.status shouldBe 401
            response.contentType shouldBe "application/problem+json"
            val problem = Json.mapper.readTree(response.body)
            problem.path("code").asText() shouldBe "unknown-credential"
            problem.path("outcome").asText() shouldBe "not-run"
            response.header("X-Request-Id") shouldBe problem.path("requestId").asText()
        }

        test("given served requests, when metrics are read, then the tier has a histogram") {
            val text = String(fleet.instances[0].operatorClient.call("GET", "/metrics").body)
            text shouldContain "lavenderhinge_first_token_seconds_bucket{tier=\"interactive\""
        }
    })
