package io.lavenderhinge.e2e

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.lavenderhinge.adapters.Json
import io.lavenderhinge.core.port.MemberKind
import io.lavenderhinge.e2e.fleet.Fleet
import io.lavenderhinge.e2e.fleet.FleetInstance
import io.lavenderhinge.e2e.fleet.bearerToken
import io.lavenderhinge.e2e.fleet.standardFleet
import io.lavenderhinge.http.HttpCallException
import io.lavenderhinge.http.HttpResponse
import io.lavenderhinge.standins.engine.EngineFaults
import kotlinx.coroutines.delay

private const val CRASHING_MESSAGE = "text that crashes engines"
private const val ENGINES = 6
private const val MAX_CRASHES = 5

/** Runs engines that crash when a prompt contains a certain message. */
class CrashingPromptTest :
    FunSpec({
        lateinit var fleet: Fleet
        beforeSpec {
            fleet = standardFleet {
                repeat(ENGINES - 2) {
                    startServer(MemberKind.MODEL_ENGINE, "engine-$it", "a", "drafting", "7")
                }
            }
        }
        afterSpec { fleet.close() }

        suspend fun FleetInstance.ask(vararg messages: String): HttpResponse? {
            val texts = messages.map { mapOf("role" to "user", "content" to it) }
            val body = mapOf("model" to "drafting", "max_tokens" to 3, "messages" to texts)
            return try {
                callerClient.call(
                    "POST",
                    "/v1/chat/completions",
                    Json.mapper.valueToTree(body),
                    listOf(bearerToken("counter-key")),
                )
            } catch (_: HttpCallException) {
                null
            }
        }

        // Guards against engines that are crashed one after the other by one part of prompts.
        test("given a message that crashes engines, then it is soon refused by all instances") {
            val engines = fleet.servers.filter { it.member.kind == MemberKind.MODEL_ENGINE }
            engines.forEach {
                it.client.call(
                    "POST",
                    "/admin/engine",
                    EngineFaults(crashOnMessage = CRASHING_MESSAGE),
                )
            }
            fleet.instances.forEach { it.ask("rules", "sound") }

            val refusals =
                List(18) { number ->
                    delay(300)
                    val instance = fleet.instances[number % fleet.instances.size]
                    instance.ask("rules", CRASHING_MESSAGE, "own$number")?.status
                }

            engines.count { !it.process.isAlive } shouldBeLessThanOrEqual MAX_CRASHES
            refusals.takeLast(6) shouldBe List(6) { 503 }
        }

        test("given the same rules without that message, then the remaining engines answer") {
            val statuses = fleet.instances.map { it.ask("rules", "another", "own")?.status }

            statuses shouldContain 200
        }
    })
