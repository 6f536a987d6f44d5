package io.lavenderhinge.instance.gateway

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe

/** Guards against stale or invalid text that replaces the active configuration. */
class ConfigurationHolderTest :
    FunSpec({
        fun text(version: Int) = """{"version":$version,"routes":[],"services":[]}"""

        // Guards against a stale read or a slow peer that reverts the configuration.
        test("given an active version, when an older one arrives, then it stays active") {
            val holder = ConfigurationHolder(ReadinessGate(), confirmationValidMillis = 3_000)

            holder.applyIfNewer(text(7), "the store") shouldBe true
            holder.applyIfNewer(text(5), "a peer") shouldBe false
            holder.applyIfNewer(text(7), "a peer") shouldBe false

            holder.version shouldBe 7
        }

        test("given an active version, when a value cannot be decoded, then it stays active") {
            val holder = ConfigurationHolder(ReadinessGate(), confirmationValidMillis = 3_000)
            holder.applyIfNewer(text(7), "the store")

            holder.applyIfNewer("{", "the store") shouldBe false

            holder.version shouldBe 7
            holder.text shouldBe text(7)
        }

        // Guards against requests that leave their region because a list cannot be read.
        test("given an active version, when a list of regions is empty, then it stays active") {
            val holder = ConfigurationHolder(ReadinessGate(), confirmationValidMillis = 3_000)
            holder.applyIfNewer(text(7), "the store")
            val tenants = """[{"name":"t","api_keys":["k"],"allowed_regions":[]}]"""
            val invalid = text(8).replace("}", ",\"tenants\":$tenants}")

            holder.applyIfNewer(invalid, "the store") shouldBe false

            holder.version shouldBe 7
        }

        test("given no answer from the store, then the configuration is not confirmed") {
            val holder = ConfigurationHolder(ReadinessGate(), confirmationValidMillis = 3_000)
            holder.applyIfNewer(text(7), "a peer")

            holder.view().isConfirmed shouldBe false
            holder.confirm()
            holder.view().isConfirmed shouldBe true
        }
    })
