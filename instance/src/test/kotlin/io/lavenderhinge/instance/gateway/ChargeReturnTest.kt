package io.lavenderhinge.instance.gateway

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.lavenderhinge.core.forwarding.QuotaCharge

class ChargeReturnTest :
    FunSpec({
        val charge = QuotaCharge("w", cost = 100.0, chargedMillis = 0)

        /** Returns whether the cost is returned after the given steps. */
        fun isReturned(steps: ChargeReturn.() -> Unit): Boolean {
            var isReturned = false
            ChargeReturn(charge) { true.also { isReturned = true } }.apply(steps).onEnd()
            return isReturned
        }

        test("given a request that was sent nowhere, then its cost is returned") {
            isReturned {} shouldBe true
        }

        test("given attempts that provably did not run, then its cost is returned") {
            isReturned {
                repeat(2) {
                    onAttempt()
                    onResult(AttemptResult.NotExecuted("421", wasSent = true))
                }
            } shouldBe true
        }

        // Guards against free runs by clients that leave before the answer.
        test("given an attempt without a result, then its cost is kept") {
            isReturned { onAttempt() } shouldBe false
        }

        // Guards against free runs of requests whose server was lost.
        test("given one attempt that may have run, then its cost is kept") {
            isReturned {
                onAttempt()
                onResult(AttemptResult.OutcomeUnknown("reset"))
                onAttempt()
                onResult(AttemptResult.NotExecuted("421", wasSent = true))
            } shouldBe false
        }
    })
