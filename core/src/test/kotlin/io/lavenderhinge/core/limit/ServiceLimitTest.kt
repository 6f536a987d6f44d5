package io.lavenderhinge.core.limit

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeInRange

class ServiceLimitTest :
    FunSpec({
        test(
            "given 16 workers, when more requests would queue inside, then the limit stays near 16"
        ) {
            val limit = ServiceLimit()
            repeat(5_000) {
                val load = limit.sequences.toDouble()
                val millis = (100 * maxOf(1.0, load / 16)).toLong()
                limit.observe(LimitSample(millis, 0, 0.0, load, 0.0), it * 10L)
            }

            limit.sequences shouldBeInRange 14..48
        }
    })
