package io.lavenderhinge.e2e

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.lavenderhinge.core.port.MemberKind
import io.lavenderhinge.e2e.fleet.Fleet
import io.lavenderhinge.e2e.fleet.FleetInstance
import io.lavenderhinge.e2e.fleet.awaitCondition
import io.lavenderhinge.e2e.fleet.bearerToken
import io.lavenderhinge.e2e.fleet.chatRequest
import io.lavenderhinge.e2e.fleet.outputTokens
import io.lavenderhinge.e2e.fleet.standardFleet
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope

/**
 * Stops instances and marks servers as leaving. Guards against truncated responses and against
 * requests sent to servers that leave.
 */
class ShutdownTest :
    FunSpec({
        lateinit var fleet: Fleet
        beforeSpec { fleet = standardFleet() }
        afterSpec { fleet.close() }

        suspend fun streamTokens(
            instance: FleetInstance,
            marker: String,
            count: Int,
        ): List<String> {
            val response =
                instance.callerClient.call(
                    "POST",
                    "/v1/chat/completions",
                    chatRequest(marker, count, stream = true),
                    listOf(bearerToken("counter-key")),
                )
            return outputTokens(response, streamed = true)
        }

        test("given requests in flight, when their instance shuts down, then all are completed") {
            val instance = fleet.instances[0]
            coroutineScope {
                val calls = (0 until 10).map { async { streamTokens(instance, "in$it", 600) } }
                awaitCondition("all requests are in flight") {
                    instance.operatorClient.callJson("GET", "/status")["inFlight"].asInt() == 10
                }
                instance.process.terminate()
                calls.awaitAll().forEachIndexed { number, tokens ->
                    tokens shouldBe (0 until 600).map { "in$number:$it" }
                }
            }
            instance.process.awaitExit(30) shouldBe 143
            fleet.restart(instance)
        }

        test("given a killed instance, when the others are called, then they keep serving") {
            fleet.instances[0].process.kill()
            coroutineScope {
                (0 until 20)
                    .map { async { streamTokens(fleet.instances[1 + it % 2], "on$it", 5) } }
                    .awaitAll()
                    .forEachIndexed { number, tokens ->
                        tokens shouldBe (0 until 5).map { "on$number:$it" }
                    }
            }
            fleet.restart(fleet.instances[0])
        }

        test("given a server listed as leaving, when 3 s have passed, then it gets no requests") {
            val engines = fleet.servers.filter { it.member.kind == MemberKind.MODEL_ENGINE }
            repeat(10) { streamTokens(fleet.instances[it % 3], "before$it", 2) }
            fleet.publishMembers(leaving = setOf("engine-a"))
            val listedNanos = System.nanoTime()
            while (System.nanoTime() - listedNanos < 3_000_000_000) {
                streamTokens(fleet.instances[0], "meanwhile", 2)
            }
            val runsBefore = engines[0].client.callJson("GET", "/admin/record").size()
            repeat(20) { streamTokens(fleet.instances[it % 3], "after$it", 2) }
            engines[0].client.callJson("GET", "/admin/record").size() shouldBe runsBefore
        }
    })
