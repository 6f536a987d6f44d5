package io.lavenderhinge.e2e

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.lavenderhinge.e2e.fleet.Fleet
import io.lavenderhinge.e2e.fleet.FleetInstance
import io.lavenderhinge.e2e.fleet.STANDARD_SETTINGS
import io.lavenderhinge.e2e.fleet.awaitCondition
import io.lavenderhinge.e2e.fleet.bearerToken
import io.lavenderhinge.e2e.fleet.chatRequest
import io.lavenderhinge.e2e.fleet.standardFleet
import io.lavenderhinge.standins.Faults
import kotlin.time.Duration.Companion.seconds

/**
 * Applies settings while the platform or instances fail. Guards against revisions that take effect
 * late, are lost or are reverted.
 */
class SettingsFailureTest :
    FunSpec({
        lateinit var fleet: Fleet
        beforeSpec { fleet = standardFleet() }
        afterSpec { fleet.close() }
        afterTest { fleet.platform.setFaults(Faults()) }

        suspend fun revisionInForce(instance: FleetInstance): Long =
            instance.operatorClient
                .callJson("GET", "/status")
                .path("settings")
                .path("caprock")
                .asLong()

        suspend fun awaitRevision(expected: Long) =
            awaitCondition(
                "revision $expected is in force at all instances",
                timeout = 13.seconds,
            ) {
                fleet.instances.all { revisionInForce(it) == expected }
            }

        suspend fun requestStatus(instance: FleetInstance, credential: String): Int =
            instance.callerClient
                .call(
                    "POST",
                    "/v1/chat/completions",
                    chatRequest("settings", 2, stream = false),
                    listOf(bearerToken(credential)),
                )
                .status

        test("given a stored change, then it is in force at all instances within 13 s") {
            val changed = STANDARD_SETTINGS.replace("office-key", "new-office-key")
            fleet.applySettings("caprock", 2, changed)
            awaitRevision(2)
            fleet.instances.forEach { requestStatus(it, "new-office-key") shouldBe 200 }
            fleet.instances.forEach { requestStatus(it, "office-key") shouldBe 401 }
        }

        test("given an invalid text is stored, then the last valid revision stays in force") {
            fleet.applySettings("caprock", 3, "[team]\nname = caprock\n[route.draft]\npath = x")
            awaitCondition("every instance reports the rejected text") {
                fleet.instances.all {
                    it.operatorClient.callJson("GET", "/status").path("rejectedSettings").size() ==
                        1
                }
            }
            fleet.instances.forEach { revisionInForce(it) shouldBe 2 }
            fleet.instances.forEach { requestStatus(it, "counter-key") shouldBe 200 }
        }

        test("given a platform outage, when an instance starts, then it gets settings from peers") {
            fleet.applySettings("caprock", 4, STANDARD_SETTINGS)
            awaitRevision(4)
            fleet.platform.setFaults(Faults(outage = true))
            val restarted = fleet.instances[1]
            restarted.process.kill()
            fleet.restart(restarted)
            revisionInForce(restarted) shouldBe 4
            fleet.instances.forEach { requestStatus(it, "counter-key") shouldBe 200 }
            fleet.platform.setFaults(Faults())
        }

        test("given an unresponsive platform, when it recovers, then new revisions take effect") {
            fleet.platform.setFaults(Faults(silent = true))
            fleet.instances.forEach { requestStatus(it, "counter-key") shouldBe 200 }
            fleet.platform.setFaults(Faults())
            fleet.applySettings("caprock", 5, STANDARD_SETTINGS)
            awaitRevision(5)
        }

        test("given a paused home, when requests arrive, then another home serves them") {
            fleet.instances[2].process.pause()
            awaitCondition("the paused home is replaced") {
                requestStatus(fleet.instances[0], "counter-key") == 200
            }
            repeat(10) { requestStatus(fleet.instances[it % 2], "counter-key") shouldBe 200 }
            fleet.instances[2].process.resume()
            awaitCondition("the resumed instance serves again") {
                fleet.instances[2].isReady() &&
                    requestStatus(fleet.instances[2], "counter-key") == 200
            }
        }
    })
