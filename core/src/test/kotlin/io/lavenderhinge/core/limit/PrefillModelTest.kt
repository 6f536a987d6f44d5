package io.lavenderhinge.core.limit

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.plusOrMinus
import io.kotest.matchers.shouldBe

class PrefillModelTest :
    FunSpec({
        test(
            "given first tokens at 50 ms + 0.2 ms per token, when fitted, then both are estimated"
        ) {
            val model = PrefillModel()
            listOf(100, 2_000, 500, 4_000, 1_000).forEach {
                model.observe(it, 50 + (it * 0.2).toLong())
            }

            model.millisPerToken() shouldBe (0.2 plusOrMinus 0.001)
            model.expectedMillis(3_000) shouldBe (650.0 plusOrMinus 2.0)
        }
    })
