package io.lavenderhinge.core.forwarding

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe

class ServiceRetryBudgetTest :
    FunSpec({
        test("given 100 requests, then a tenth of them and a share of the slack may be retried") {
            val budget = ServiceRetryBudget(ratio = 0.1, fleetSlack = 40.0)
            repeat(100) { budget.onRequest("s", nowMillis = it.toLong()) }

            List(100) { budget.tryRetry("s", instanceCount = 4, nowMillis = 100) }
                .count { it } shouldBe 15
        }

        test(
            "given an exhausted budget, when the window has passed, then retries are allowed again"
        ) {
            val budget = ServiceRetryBudget(ratio = 0.1, fleetSlack = 2.0)
            budget.tryRetry("s", instanceCount = 1, nowMillis = 0) shouldBe true
            budget.tryRetry("s", instanceCount = 1, nowMillis = 1) shouldBe false

            budget.tryRetry("s", instanceCount = 1, nowMillis = 10_002) shouldBe true
        }
    })
