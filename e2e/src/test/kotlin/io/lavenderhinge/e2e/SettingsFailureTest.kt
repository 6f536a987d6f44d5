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

/** Settings under platform failure; guards against late, lost and reverted revisions. */
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
            awaitCondition("revision $expected is in force everywhere", timeout = 13.seconds) {
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

        test("given a stored change, when 13 s have passed, then it is in force everywhere") {
            val changed = STANDARD_SETTINGS.replace("office-key", "new-office-key")
            fleet.applySettings("caprock", 2, changed)
            awaitRevision(2)
            fleet.instances.forEach { requestStatus(it, "new-office-key") shouldBe 200 }
            fleet.instances.forEach { requestStatus(it, "office-key") shouldBe 401 }
        }

        test("given an invalid text is stored, then what was in force stays in force") {
            fleet.applySettings("caprock", 3, "[team]\nname = caprock\n[route.draft]\npath = x")
            awaitCondition("the text is reported") {
                fleet.instances.all {
                    it.operatorClient.callJson("GET", "/status").path("rejectedSettings").size() ==
                        1
                }
            }
            fleet.instances.forEach { revisionInForce(it) shouldBe 2 }
            fleet.instances.forEach { requestStatus(it, "counter-key") shouldBe 200 }
        }

        test("given the platform is down, when an instance starts, then it learns from its peers") {
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

        test("given the platform goes silent and comes back, then changes follow") {
            fleet.platform.setFaults(Faults(silent = true))
            fleet.instances.forEach { requestStatus(it, "counter-key") shouldBe 200 }
            fleet.platform.setFaults(Faults())
            fleet.applySettings("caprock", 5, STANDARD_SETTINGS)
            awaitRevision(5)
        }

        test("given a home is frozen, when requests follow, then another home serves them") {
            fleet.instances[2].process.pause()
            awaitCondition("the frozen home is replaced") {
                requestStatus(fleet.instances[0], "counter-key") == 200
            }
            repeat(10) { requestStatus(fleet.instances[it % 2], "counter-key") shouldBe 200 }
            fleet.instances[2].process.resume()
            awaitCondition("the thawed instance serves again") {
                fleet.instances[2].isReady() &&
                    requestStatus(fleet.instances[2], "counter-key") == 200
            }
        }
    })
