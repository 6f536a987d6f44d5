package io.lavenderhinge.experiments.settings

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe

/** Maximum time until an accepted change is active on every instance (invariant I9). */
private const val MAX_ACTIVATION_MILLIS = 13_000L

class SettingsRunTest :
    FunSpec({
        // Guards against lost, reverted and late settings changes under each kind of fault.
        Scenario.entries.forEach { scenario ->
            listOf(1L, 2L).forEach { seed ->
                test("given $scenario with seed $seed, when settings change, then all activate") {
                    val result = SettingsRun.run(RunPlan(scenario, 40, teams = 20, seed))
                    withClue("revision regressions") { result.revisionRegressions shouldBe 0 }
                    withClue("missed activations") { result.missedActivations shouldBe 0 }
                    result.fleetActivationDelays.max()!! shouldBeLessThan MAX_ACTIVATION_MILLIS
                }
            }
        }

        // Guards against a run that depends on anything but its seed and cannot be reproduced.
        test("given the same seed, when run twice, then the results are the same") {
            val plan = RunPlan(Scenario.LOSSY, 20, teams = 5, seed = 7)
            val (first, second) =
                List(2) { SettingsRun.run(plan).instanceActivationDelays.toString() }
            first shouldBe second
        }
    })
