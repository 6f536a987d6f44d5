package io.lavenderhinge.e2e

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe
import io.lavenderhinge.adapters.Json
import io.lavenderhinge.core.port.MemberKind
import io.lavenderhinge.e2e.fleet.Fleet
import io.lavenderhinge.e2e.fleet.FleetServer
import io.lavenderhinge.e2e.fleet.awaitCondition
import io.lavenderhinge.e2e.fleet.bearerToken
import io.lavenderhinge.e2e.fleet.chatRequest
import io.lavenderhinge.e2e.fleet.outputTokens
import io.lavenderhinge.e2e.fleet.standardFleet
import io.lavenderhinge.http.HttpCallException
import io.lavenderhinge.standins.Run
import io.lavenderhinge.standins.engine.EngineFaults
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope

/**
 * Breaks the streams of engines. Guards against responses that are truncated, repeated or sent to
 * another caller, and against requests that run twice.
 */
class StreamFailureTest :
    FunSpec({
        lateinit var fleet: Fleet
        beforeSpec { fleet = standardFleet() }
        afterSpec { fleet.close() }
        afterTest { setEngineFaults(fleet, EngineFaults()) }

        suspend fun engineRuns(): List<Run> =
            fleet.servers
                .filter { it.member.kind == MemberKind.MODEL_ENGINE }
                .flatMap { server ->
                    val record = server.client.callJson("GET", "/admin/record")
                    record.map { Json.mapper.treeToValue(it, Run::class.java) }
                }

        data class StreamFault(val name: String, val faults: EngineFaults)

        context("given streams that break, then callers get their complete responses") {
            withData(
                nameFn = { it.name },
                StreamFault("cut after 3 tokens", EngineFaults(dropAfterTokens = 3)),
                StreamFault("cut before the first token", EngineFaults(dropAfterTokens = 0)),
            ) { fault ->
                setEngineFaults(fleet, fault.faults)
                coroutineScope {
                    (0 until 20)
                        .map { number ->
                            async {
                                val streamed = number % 2 == 0
                                val instance = fleet.instances[number % 3]
                                val response =
                                    instance.callerClient.call(
                                        "POST",
                                        "/v1/chat/completions",
                                        chatRequest("cut$number", 12, streamed),
                                        listOf(bearerToken("counter-key")),
                                    )
                                outputTokens(response, streamed) shouldBe
                                    (0 until 12).map { "cut$number:$it" }
                            }
                        }
                        .awaitAll()
                }
            }
        }

        test("given all requests so far, when the run logs are read, then no request ran twice") {
            val runs = engineRuns()
            runs.groupBy { it.requestId }.filterValues { it.size > 1 }.keys shouldBe emptySet()
        }

        test(
            "given an engine is killed during a stream, then the caller's stream ends with an error"
        ) {
            val instance = fleet.instances[0]
            coroutineScope {
                val calls =
                    (0 until 10).map { number ->
                        async {
                            runCatching {
                                instance.callerClient.call(
                                    "POST",
                                    "/v1/chat/completions",
                                    chatRequest("dead$number", 600, stream = true),
                                    listOf(bearerToken("counter-key")),
                                )
                            }
                        }
                    }
                val engine = awaitBusyEngine(fleet)
                engine.process.kill()
                val failedCalls = calls.awaitAll().filter { it.isFailure }
                failedCalls.isNotEmpty() shouldBe true
                failedCalls.all {
                    it.exceptionOrNull() is HttpCallException.OutcomeUnknown
                } shouldBe true
            }
        }

        test("given a dead engine, when requests arrive, then the other engine serves them") {
            awaitCondition("requests are no longer sent to the dead engine") {
                val response =
                    fleet.instances[0]
                        .callerClient
                        .call(
                            "POST",
                            "/v1/chat/completions",
                            chatRequest("after", 3, stream = false),
                            listOf(bearerToken("counter-key")),
                        )
                response.status == 200
            }
        }
    })

private suspend fun setEngineFaults(fleet: Fleet, faults: EngineFaults) =
    fleet.servers
        .filter { it.member.kind == MemberKind.MODEL_ENGINE && it.process.isAlive }
        .forEach { it.client.call("POST", "/admin/engine", faults) }

/**
 * Waits until an engine runs a request and returns it. It can be either one, as requests with the
 * same prompt may all go to the same engine.
 */
private suspend fun awaitBusyEngine(fleet: Fleet): FleetServer {
    val engines = fleet.servers.filter { it.member.kind == MemberKind.MODEL_ENGINE }
    var busy: FleetServer? = null
    awaitCondition("an engine runs a request") {
        busy = engines.firstOrNull { it.client.callJson("GET", "/v1/load")["running"].asInt() > 0 }
        busy != null
    }
    return checkNotNull(busy)
}
