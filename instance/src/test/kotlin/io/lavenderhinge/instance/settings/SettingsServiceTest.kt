package io.lavenderhinge.instance.settings

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.lavenderhinge.adapters.Json
import io.lavenderhinge.adapters.StoredSettingsCodec
import io.lavenderhinge.core.settings.Readiness
import io.lavenderhinge.core.settings.StoredSettings
import kotlin.time.Duration.Companion.seconds

private fun stored(revision: Long, version: String = "1") =
    StoredSettingsCodec.encode(
        StoredSettings(revision, "anna", 0, "[team]\nname = t\n[model.m]\nversion = $version\n")
    )

private fun SettingsService.revision() = current().teams["t"]?.revision

class SettingsServiceTest :
    FunSpec({
        test("given three instances, when a text is applied, then it is active on all of them") {
            InMemoryFleet().use { fleet ->
                fleet.store.compareAndSwap("config/t", 0, stored(1))
                val services = listOf("i-1", "i-2", "i-3").map(fleet::start)
                eventually(10.seconds) { services.forEach { it.revision() shouldBe 1 } }
                fleet.store.compareAndSwap("config/t", 1, stored(2))
                eventually(10.seconds) { services.forEach { it.revision() shouldBe 2 } }
            }
        }

        test("given an outage, when an instance starts, then its peers make it ready") {
            InMemoryFleet().use { fleet ->
                fleet.store.compareAndSwap("config/t", 0, stored(4))
                val old = fleet.start("i-1")
                eventually(10.seconds) { old.revision() shouldBe 4 }
                fleet.store.isDown = true
                val new = fleet.start("i-2")
                eventually(10.seconds) { new.ready() shouldBe Readiness.Ready }
                new.revision() shouldBe 4
            }
        }

        test("given an invalid text, when it is stored, then the domain's status reports it") {
            InMemoryFleet().use { fleet ->
                fleet.store.compareAndSwap("config/t", 0, stored(1))
                fleet.store.compareAndSwap("config/u", 0, stored(9, version = ""))
                fleet.start("i-1")
                eventually(10.seconds) {
                    val value = fleet.store.get("status/settings/a").getOrNull().shouldNotBeNull()
                    val status = Json.mapper.readTree(value.value)
                    status["teams"]["t"].longValue() shouldBe 1
                    status["rejected"][0]["revision"].longValue() shouldBe 9
                }
            }
        }
    })
