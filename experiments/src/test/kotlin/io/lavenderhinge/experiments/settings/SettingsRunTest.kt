package io.lavenderhinge.experiments.settings

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe

/** Time in which an accepted change is to be in force everywhere (invariant I9). */
private const val MAX_ACTIVATION_MILLIS = 13_000L

class SettingsRunTest :
    FunSpec({
        Scenario.entries.forEach { scenario ->
            listOf(1L, 2L).forEach { seed ->
                test("given $scenario with seed $seed, when settings change, then all follow") {
                    val result = SettingsRun.run(RunPlan(scenario, 40, teams = 20, seed))
                    withClue("revisions that went back") { result.revisionRegressions shouldBe 0 }
                    withClue("changes never in force") { result.missedActivations shouldBe 0 }
                    result.fleetActivationDelays.max()!! shouldBeLessThan MAX_ACTIVATION_MILLIS
                }
            }
        }

        test("given the same seed, when run twice, then the run is the same") {
            val plan = RunPlan(Scenario.LOSSY, 20, teams = 5, seed = 7)
            val (first, second) =
                List(2) { SettingsRun.run(plan).instanceActivationDelays.toString() }
            first shouldBe second
        }
    })
