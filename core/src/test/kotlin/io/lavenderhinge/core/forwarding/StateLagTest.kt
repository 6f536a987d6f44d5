package io.lavenderhinge.core.forwarding

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe

/** Guards against state that stays out of date because some peers are behind as well. */
class StateLagTest :
    FunSpec({
        test("given peers that are behind too, then the time goes on") {
            val lag = StateLag()

            lag.onReported(reported = 9, own = 5, nowMillis = 100) shouldBe 0
            lag.onReported(reported = 5, own = 5, nowMillis = 300) shouldBe 200
            lag.onReported(reported = 9, own = 5, nowMillis = 500) shouldBe 400
        }

        test("given an own revision that is newer, then there is no lag") {
            val lag = StateLag()
            lag.onReported(reported = 9, own = 5, nowMillis = 100)

            lag.onReported(reported = 9, own = 10, nowMillis = 600) shouldBe 0
        }

        // Guards against asking peers while the store delivers one change after the other.
        test("given an own revision that rises, then the time starts again") {
            val lag = StateLag()
            lag.onReported(reported = 9, own = 5, nowMillis = 100)

            lag.onReported(reported = 12, own = 9, nowMillis = 600) shouldBe 0
            lag.onReported(reported = 12, own = 9, nowMillis = 900) shouldBe 300
        }
    })
