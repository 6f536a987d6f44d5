package io.lavenderhinge.adapters

import arrow.core.left
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.lavenderhinge.core.settings.StoredSettings

private val stored = StoredSettings(7, "anna", 1_700_000_000_000, "[team]\nname = t\n")

class StoredSettingsCodecTest :
    FunSpec({
        test("given stored settings, when encoded, then the form is the one of the design") {
            StoredSettingsCodec.encode(stored) shouldBe
                """{"revision":7,"author":"anna","appliedAtMillis":1700000000000,""" +
                    """"text":"[team]\nname = t\n"}"""
            StoredSettingsCodec.decode(StoredSettingsCodec.encode(stored)).getOrNull() shouldBe
                stored
        }

        listOf(
                "" to "the value has no revision above 0",
                "{" to "the value is no JSON",
                """{"revision":0,"text":""}""" to "the value has no revision above 0",
                """{"revision":3}""" to "the value has no text",
            )
            .forEach { (value, reason) ->
                test("given `$value`, when decoded, then it is refused") {
                    StoredSettingsCodec.decode(value) shouldBe reason.left()
                }
            }

        test("given many large entries, when encoded, then the newest fit into one value") {
            val entries =
                (99L downTo 1L).map { stored.copy(revision = it, text = "x".repeat(30_000)) }
            val value = StoredSettingsCodec.encodeHistory(entries)
            value.length shouldBeLessThan 800_000
            StoredSettingsCodec.decodeHistory(value).first().revision shouldBe 99
            val small = StoredSettingsCodec.encodeHistory(entries.map { it.copy(text = "") })
            StoredSettingsCodec.decodeHistory(small).size shouldBe 50
        }
    })
