package io.lavenderhinge.core.routing

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe

class RetryBudgetTest :
    FunSpec({
        test("given 100 requests, when all retry, then only a tenth is allowed") {
            val budget = RetryBudget()
            repeat(100) { budget.recordRequest("w", nowMillis = it * 50L) }

            List(100) { budget.tryAcquire("w", nowMillis = 5_000) }.count { it } shouldBe 10
        }

        test("given an exhausted budget, when 10 s pass, then old retries no longer count") {
            val budget = RetryBudget()
            budget.tryAcquire("w", nowMillis = 0) shouldBe true
            budget.tryAcquire("w", nowMillis = 9_000) shouldBe false

            budget.tryAcquire("w", nowMillis = 10_000) shouldBe true
        }
    })
