package io.lavenderhinge.core.scheduling

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.ints.shouldBeInRange
import io.kotest.matchers.shouldBe
import io.lavenderhinge.core.limit.LimitStatement

private const val WINDOW_MILLIS = 4_000L

class HomeStatedLimitTest :
    FunSpec({
        /** Runs each granted request for a moment and returns the number of grants. */
        fun grantsWhileBusy(home: HomeFixture, perSecond: Double?): Int {
            var grants = 0
            var granted = listOf<String>()
            for (millis in 100..WINDOW_MILLIS step 100) {
                home.at(millis)
                val effects =
                    granted.flatMap {
                        home.finish(it, limitStatement = LimitStatement(perSecond))
                    } + home.submit(home.request("r$millis")) + home.handle(HomeEvent.Tick)
                granted =
                    effects.filter { it.startsWith("grant") }.map { it.removePrefix("grant ") }
                grants += granted.size
            }
            return grants
        }

        // Guards against a server that gets more requests than the limit that it names.
        test("given a server that names a limit, then grants keep to it") {
            val home = HomeFixture(slots = 8)

            grantsWhileBusy(home, perSecond = 2.0) shouldBeInRange 6..17
        }

        test("given a server that names no limit, then its slots decide") {
            val home = HomeFixture(slots = 8)

            grantsWhileBusy(home, perSecond = null) shouldBe WINDOW_MILLIS.toInt() / 100
        }

        // Guards against requests that wait for a limited server beyond their deadline.
        test("given a wait for the limit beyond the deadline, then a request is refused") {
            val home = HomeFixture(slots = 8)
            home.submit(home.request("first"))
            home.finish("first", limitStatement = LimitStatement(0.2))

            home.submit(home.request("urgent", deadlineMillis = 1_000)) shouldContain
                "refuse urgent DEADLINE"
        }
    })
