package io.lavenderhinge.adapters

import arrow.core.left
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.lavenderhinge.core.settings.StoredSettings

private val stored = StoredSettings(7, "anna", 1_700_000_000_000, "[team]\nname = t\n")

class StoredSettingsCodecTest :
    FunSpec({
        // Guards against a format change that instances of another version cannot read.
        test("given stored settings, when encoded, then the JSON has the documented form") {
            StoredSettingsCodec.encode(stored) shouldBe
                """{"revision":7,"author":"anna","appliedAtMillis":1700000000000,""" +
                    """"text":"[team]\nname = t\n"}"""
            StoredSettingsCodec.decode(StoredSettingsCodec.encode(stored)).getOrNull() shouldBe
                stored
        }

        // Guards against an invalid value that is accepted as settings or raises an exception.
        listOf(
                "" to "the value has no positive revision",
                "{" to "the value is not JSON",
                """{"revision":0,"text":""}""" to "the value has no positive revision",
                """{"revision":3}""" to "the value has no text",
            )
            .forEach { (value, reason) ->
                test("given `$value`, when decoded, then it is rejected") {
                    StoredSettingsCodec.decode(value) shouldBe reason.left()
                }
            }

        // Guards against a history that outgrows the 1 MB limit and can no longer be written.
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
