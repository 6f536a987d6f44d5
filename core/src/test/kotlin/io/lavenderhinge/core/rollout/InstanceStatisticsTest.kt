package io.lavenderhinge.core.rollout

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.plusOrMinus
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain

private fun statistics() =
    InstanceStatistics(
        planUnderTest,
        "i1",
        FalseAlarmBudget().instanceLogThreshold(9),
        TestWindow(0, HOUR),
    )

private fun InstanceStatistics.feed(rounds: Int, newOutcome: RequestOutcome): StopFlag? {
    for (round in 1..rounds) {
        repeat(20) { observe("draft", "7", RequestOutcome.Answered(100L + it)) }
        observe("draft", "8", newOutcome)
        evaluate(round * 2_000L)?.let {
            return it
        }
    }
    return null
}

class InstanceStatisticsTest :
    FunSpec({
        test("given failures of the new version, when an instance evaluates, then it is stopped") {
            val flag = statistics().feed(40, RequestOutcome.Failed)

            flag!!.rolloutId shouldBe planUnderTest.rolloutId
            flag.evidence shouldContain "instance i1 alone: route draft, errors"
        }

        test("given a slow new version, when an instance evaluates, then it is stopped") {
            val flag = statistics().feed(80, RequestOutcome.Answered(900))

            flag!!.evidence shouldContain "slow requests"
        }

        test("given equal versions, when an instance evaluates, then it is not stopped") {
            statistics().feed(500, RequestOutcome.Answered(105)) shouldBe null
        }

        test("given a change of step, when reported, then counts restart at zero") {
            val statistics = statistics()
            statistics.feed(5, RequestOutcome.Answered(105))

            statistics.startStep(2, 20_000)
            statistics.observe("draft", "8", RequestOutcome.TimedOut)

            statistics.report().byRoute.getValue("draft") shouldBe
                RouteCounts(new = VersionCounts(1, 1, 1))
        }

        test("given a share, when versions are chosen, then that part keeps the new one") {
            val split = VersionSplit("id", "7", "8", 0.05)
            val ids = (1..100_000).map { "request-$it" }
            val early = ids.filter { split.versionFor(it) == "8" }

            (early.size / 100_000.0) shouldBe (0.05 plusOrMinus 0.005)
            early.all { split.copy(newShareFraction = 0.25).versionFor(it) == "8" } shouldBe true
        }

        // Guards against a stop that a stale record overrides, for example during an outage.
        test(
            "given a stop flag, when the record still says moving, then nothing gets the version"
        ) {
            val flags = StopFlags()
            val record =
                RolloutRecord(
                    planUnderTest,
                    RolloutPhase.MOVING,
                    shareFraction = 0.5,
                    startedAtMillis = 0,
                    stepSinceMillis = 0,
                )
            val records = mapOf(planUnderTest.recordKey to StoredRecord(record, 3))
            flags.merge(listOf(StopFlag("drafting", "8", planUnderTest.rolloutId, "seen")))
            flags.merge(listOf(StopFlag("drafting", "8", planUnderTest.rolloutId, "again")))

            val split = VersionSplitRule.split(listOf(planUnderTest), records, flags)

            split!!.newShareFraction shouldBe 0.0
            flags.all.single().evidence shouldBe "seen"
        }
    })
