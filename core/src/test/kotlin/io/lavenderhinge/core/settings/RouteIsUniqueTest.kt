package io.lavenderhinge.core.settings

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe

class RouteIsUniqueTest :
    FunSpec({
        invalidInputTests(
            InvalidInput(
                "[route.book]",
                "[route.b]\npath = /v1/chat/completions\nmodel = drafting\n[route.book]",
                "[route.b] path = /v1/chat/completions: matches the same requests as " +
                    "[route.draft]; change the path or remove one of the two routes",
            ),
            InvalidInput(
                "/booking/reserve",
                "/v1/chat/completions",
                "[route.book] path = /v1/chat/completions: matches the same requests as " +
                    "[route.draft]; change the path or remove one of the two routes",
            ),
        )

        test("given two models on one path, when parsed, then the model in the request decides") {
            val second =
                "[model.m]\nversion = 1\n[route.m]\npath = /v1/chat/completions\nmodel = m\n"
            faultsOf(validTeam + "\n" + second) shouldBe emptyList()
        }
    })
