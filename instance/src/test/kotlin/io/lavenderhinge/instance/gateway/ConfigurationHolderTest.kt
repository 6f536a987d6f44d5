package io.lavenderhinge.instance.gateway

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe

class ConfigurationHolderTest :
    FunSpec({
        fun text(version: Int) = """{"version":$version,"routes":[],"services":[]}"""

        // Guards against a stale read or a slow peer that takes a configuration back.
        test("given a version in force, when an older one arrives, then it stays") {
            val holder = ConfigurationHolder(ReadinessGate())

            holder.applyIfNewer(text(7), "the store") shouldBe true
            holder.applyIfNewer(text(5), "a peer") shouldBe false
            holder.applyIfNewer(text(7), "a peer") shouldBe false

            holder.version shouldBe 7
        }

        test("given a version in force, when a value cannot be read, then it stays") {
            val holder = ConfigurationHolder(ReadinessGate())
            holder.applyIfNewer(text(7), "the store")

            holder.applyIfNewer("{", "the store") shouldBe false

            holder.version shouldBe 7
            holder.text shouldBe text(7)
        }

        test("given no word of the store, then the configuration is not confirmed") {
            val holder = ConfigurationHolder(ReadinessGate())
            holder.applyIfNewer(text(7), "a peer")

            holder.view().isConfirmed shouldBe false
            holder.confirm()
            holder.view().isConfirmed shouldBe true
        }
    })
