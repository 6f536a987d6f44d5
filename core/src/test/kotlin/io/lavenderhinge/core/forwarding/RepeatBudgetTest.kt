package io.lavenderhinge.core.forwarding

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe

class RepeatBudgetTest :
    FunSpec({
        test("given 100 requests, then a tenth of them and a part of the slack may be repeated") {
            val budget = RepeatBudget(ratio = 0.1, fleetSlack = 40.0)
            repeat(100) { budget.onRequest("s", nowMillis = it.toLong()) }

            List(100) { budget.tryRepeat("s", instanceCount = 4, nowMillis = 100) }
                .count { it } shouldBe 15
        }

        test(
            "given a used-up budget, when the window has passed, then repeats are possible again"
        ) {
            val budget = RepeatBudget(ratio = 0.1, fleetSlack = 2.0)
            budget.tryRepeat("s", instanceCount = 1, nowMillis = 0) shouldBe true
            budget.tryRepeat("s", instanceCount = 1, nowMillis = 1) shouldBe false

            budget.tryRepeat("s", instanceCount = 1, nowMillis = 10_002) shouldBe true
        }
    })
