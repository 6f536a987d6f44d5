package io.lavenderhinge.e2e

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.lavenderhinge.core.port.MemberKind
import io.lavenderhinge.e2e.fleet.Fleet
import io.lavenderhinge.e2e.fleet.STANDARD_SETTINGS
import io.lavenderhinge.e2e.fleet.bearerToken
import io.lavenderhinge.e2e.fleet.chatRequest
import io.lavenderhinge.e2e.fleet.standardFleet
import io.lavenderhinge.standins.engine.EngineFaults
import io.lavenderhinge.standins.engine.VersionFault
import java.time.Instant
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.withTimeout

/** Rolls out a version that fails every request. Guards against it keeping or regaining traffic. */
class RolloutFailureTest :
    FunSpec({
        lateinit var fleet: Fleet
        beforeSpec {
            fleet = standardFleet {
                startServer(
                    MemberKind.MODEL_ENGINE,
                    "engine-new",
                    "a",
                    "drafting",
                    "8",
                    "--step-millis",
                    "2",
                )
            }
        }
        afterSpec { fleet.close() }

        suspend fun sendRequests(count: Int) = coroutineScope {
            (0 until count)
                .map { number ->
                    async {
                        fleet.instances[number % 3]
                            .callerClient
                            .call(
                                "POST",
                                "/v1/chat/completions",
                                chatRequest("r$number", 2, stream = false),
                                listOf(bearerToken("counter-key")),
                            )
                    }
                }
                .awaitAll()
        }

        suspend fun rolloutStatus(): String =
            fleet.instances[0].operatorClient.callJson("GET", "/status").path("rollouts").toString()

        suspend fun dispatchedToNewVersion(): Int =
            fleet.instances.sumOf { instance ->
                val metrics = String(instance.operatorClient.call("GET", "/metrics").body)
                Regex("""lavenderhinge_dispatched_total\{target="drafting",version="8"} (\S+)""")
                    .find(metrics)
                    ?.groupValues
                    ?.get(1)
                    ?.toDouble()
                    ?.toInt() ?: 0
            }

        test("given a failing version, when it is rolled out, then it is undone and stays undone") {
            val engine = fleet.servers.first { it.member.id == "engine-new" }
            val faults = EngineFaults(versions = mapOf("8" to VersionFault(errorFraction = 1.0)))
            engine.client.call("POST", "/admin/engine", faults)
            val rollout =
                """
                [rollout.drafting]
                target = model.drafting
                from = 7
                to = 8
                deadline = ${Instant.now().plusSeconds(3_600)}
                unproved-share = 5%
                """
                    .trimIndent()
            fleet.applySettings("caprock", 2, "$STANDARD_SETTINGS\n\n$rollout")
            val sentRequests = AtomicInteger()
            withTimeout(120.seconds) {
                while ("undone" !in rolloutStatus()) {
                    sendRequests(30)
                    sentRequests.addAndGet(30)
                }
            }
            rolloutStatus() shouldContain "undone"
            val newVersionDispatches = dispatchedToNewVersion()
            (newVersionDispatches.toDouble() / sentRequests.get()) shouldBeLessThan 0.05
            sendRequests(300).count { it.status != 200 } shouldBe 0
            dispatchedToNewVersion() shouldBe newVersionDispatches
        }
    })
