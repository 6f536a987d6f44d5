package io.lavenderhinge.core.forwarding

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe

class ForwardingTableTest :
    FunSpec({
        val table = table(listOf(route("/a/"), route("/a/b/"), route("/c/")))

        test("given nested prefixes, then the longest match is used") {
            table.routeFor("h", "/a/b/1")?.name shouldBe "/a/b/"
            table.routeFor("h", "/a/x")?.name shouldBe "/a/"
        }

        test("given a host in upper case, then it matches") {
            table.routeFor("H", "/c/1")?.name shouldBe "/c/"
        }

        test("given another host or path, then there is no route") {
            table.routeFor("other", "/a/1") shouldBe null
            table.routeFor("h", "/a") shouldBe null
        }
    })
