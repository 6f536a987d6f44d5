package io.lavenderhinge.e2e

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe
import io.lavenderhinge.adapters.Json
import io.lavenderhinge.core.port.MemberKind
import io.lavenderhinge.e2e.fleet.Fleet
import io.lavenderhinge.e2e.fleet.FleetServer
import io.lavenderhinge.e2e.fleet.await
import io.lavenderhinge.e2e.fleet.chat
import io.lavenderhinge.e2e.fleet.standardFleet
import io.lavenderhinge.e2e.fleet.token
import io.lavenderhinge.e2e.fleet.tokens
import io.lavenderhinge.http.HttpCallException
import io.lavenderhinge.standins.Run
import io.lavenderhinge.standins.engine.EngineFaults
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope

/**
 * Engines whose streams break; guards against cut, repeated and crossed answers and second runs.
 */
class StreamFailureTest :
    FunSpec({
        lateinit var fleet: Fleet
        beforeSpec { fleet = standardFleet() }
        afterSpec { fleet.close() }
        afterTest { engineFaults(fleet, EngineFaults()) }

        suspend fun engineRuns(): List<Run> =
            fleet.servers
                .filter { it.member.kind == MemberKind.MODEL_ENGINE }
                .flatMap { server ->
                    val record = server.api.json("GET", "/admin/record")
                    record.map { Json.mapper.treeToValue(it, Run::class.java) }
                }

        data class Fault(val name: String, val faults: EngineFaults)

        context("given streams break in the middle, then callers get the whole of their answers") {
            withData(
                nameFn = { it.name },
                Fault("cut after 3 tokens", EngineFaults(dropAfterTokens = 3)),
                Fault("cut before the first token", EngineFaults(dropAfterTokens = 0)),
            ) { fault ->
                engineFaults(fleet, fault.faults)
                coroutineScope {
                    (0 until 20)
                        .map { number ->
                            async {
                                val streamed = number % 2 == 0
                                val instance = fleet.instances[number % 3]
                                val answer =
                                    instance.caller.call(
                                        "POST",
                                        "/v1/chat/completions",
                                        chat("cut$number", 12, streamed),
                                        listOf(token("counter-key")),
                                    )
                                tokens(answer, streamed) shouldBe
                                    (0 until 12).map { "cut$number:$it" }
                            }
                        }
                        .awaitAll()
                }
            }
        }

        test("given all requests before, when the engines' records are read, then none ran twice") {
            val runs = engineRuns()
            runs.groupBy { it.requestId }.filterValues { it.size > 1 }.keys shouldBe emptySet()
        }

        test("given an engine dies in a stream, then the caller can tell that it is cut") {
            val instance = fleet.instances[0]
            coroutineScope {
                val calls =
                    (0 until 10).map { number ->
                        async {
                            runCatching {
                                instance.caller.call(
                                    "POST",
                                    "/v1/chat/completions",
                                    chat("dead$number", 600, stream = true),
                                    listOf(token("counter-key")),
                                )
                            }
                        }
                    }
                val engine = busyEngine(fleet)
                engine.process.kill()
                val cut = calls.awaitAll().filter { it.isFailure }
                cut.isNotEmpty() shouldBe true
                cut.all { it.exceptionOrNull() is HttpCallException.OutcomeUnknown } shouldBe true
            }
        }

        test("given a dead engine, when requests follow, then the other one serves them") {
            await("requests no longer meet the dead engine") {
                val answer =
                    fleet.instances[0]
                        .caller
                        .call(
                            "POST",
                            "/v1/chat/completions",
                            chat("after", 3, stream = false),
                            listOf(token("counter-key")),
                        )
                answer.status == 200
            }
        }
    })

private suspend fun engineFaults(fleet: Fleet, faults: EngineFaults) =
    fleet.servers
        .filter { it.member.kind == MemberKind.MODEL_ENGINE && it.process.alive }
        .forEach { it.api.call("POST", "/admin/engine", faults) }

/** Waits for an engine that generates; requests with one prompt may all go to the same one. */
private suspend fun busyEngine(fleet: Fleet): FleetServer {
    val engines = fleet.servers.filter { it.member.kind == MemberKind.MODEL_ENGINE }
    var busy: FleetServer? = null
    await("an engine generates") {
        busy = engines.firstOrNull { it.api.json("GET", "/v1/load")["running"].asInt() > 0 }
        busy != null
    }
    return checkNotNull(busy)
}
