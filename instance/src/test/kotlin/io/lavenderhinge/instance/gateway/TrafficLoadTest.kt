package io.lavenderhinge.instance.gateway

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import java.util.concurrent.TimeUnit

class TrafficLoadTest :
    FunSpec({
        // Guards against time that is counted for two activities, or for the wrong one.
        test("given an activity inside another, then its time counts only for itself") {
            var nowMillis = 0L
            val load = TrafficLoad { TimeUnit.MILLISECONDS.toNanos(nowMillis) }

            load.measured(TrafficActivity.REPORTS) {
                nowMillis += 2
                load.measured(TrafficActivity.DECISIONS) { nowMillis += 5 }
                nowMillis += 1
            }
            nowMillis += 10

            load.spentMillis(TrafficActivity.REPORTS) shouldBe 3
            load.spentMillis(TrafficActivity.DECISIONS) shouldBe 5
        }
    })
