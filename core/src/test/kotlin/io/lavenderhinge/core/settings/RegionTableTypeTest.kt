package io.lavenderhinge.core.settings

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain

class RegionTableTypeTest :
    FunSpec({
        test("given pairs, then each zone has its region") {
            RegionTableType.parse("a=west, b=east").getOrNull() shouldBe
                mapOf("a" to "west", "b" to "east")
        }

        // Guards against settings of a deployment without regions being rejected.
        test("given no text, then the table is empty") {
            RegionTableType.parse("").getOrNull() shouldBe emptyMap()
        }

        // Guards against a domain that is taken to be in a region by mistake.
        listOf("a", "a=", "=west").forEach { text ->
            test("given the entry $text, then it is rejected") {
                RegionTableType.parse(text).leftOrNull()!!.reason shouldContain "'$text'"
            }
        }

        test("given a zone in two regions, then it is rejected") {
            RegionTableType.parse("a=west,a=east").leftOrNull()!!.reason shouldContain "twice"
        }
    })
