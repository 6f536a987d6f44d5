package io.lavenderhinge.experiments.run

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.comparables.shouldBeGreaterThan
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.doubles.plusOrMinus
import io.kotest.matchers.maps.shouldBeEmpty
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import io.lavenderhinge.experiments.cluster.Invariant
import io.lavenderhinge.experiments.scheduler.Schedulers
import io.lavenderhinge.experiments.workload.Deployments

class ExperimentRunTest :
    FunSpec({
        val capacityPerSecond = CapacityRun(Deployments.caprock).requestsPerSecond()
        fun scenario(load: Double, fault: FaultKind = FaultKind.NONE, seed: Long = 1) =
            Scenario(
                Deployments.caprock,
                Schedulers.byName.getValue("two-choices"),
                load,
                fault,
                seed,
                durationSeconds = 40,
                capacityPerSecond,
            )

        // Guards conservation in the harness: a request lost or ended twice would distort goodput.
        FaultKind.entries.forEach { fault ->
            test("given fault ${fault.optionName}, when overloaded, then every arrival ends once") {
                val result = ExperimentRun(scenario(1.5, fault)).run()

                // Two choices keep no priority, so that I2 is not demanded.
                result.violations.minus(Invariant.TOP_TIER_FIRST).shouldBeEmpty()
                result.groups.values.forEach { group ->
                    group.outcomes.values.sum() shouldBe group.offered
                }
            }
        }

        // Guards against an order or clock that does not come from the seed.
        test("given a seed, when run twice, then the results are equal, and differ with another") {
            val first = ExperimentRun(scenario(1.0, FaultKind.DOMAIN_CUT)).run()

            ExperimentRun(scenario(1.0, FaultKind.DOMAIN_CUT)).run() shouldBe first
            ExperimentRun(scenario(1.0, FaultKind.DOMAIN_CUT, seed = 2)).run() shouldNotBe first
        }

        // Guards the calibration: the targets have to be reachable below capacity and out of reach
        // for first come, first served far beyond it.
        test("given two choices, when load rises, then goodput collapses beyond capacity") {
            val below = ExperimentRun(scenario(0.5)).run().groups.getValue(Group.INTERACTIVE)
            val beyond = ExperimentRun(scenario(2.5)).run().groups.getValue(Group.INTERACTIVE)

            below.goodFraction shouldBeGreaterThan 0.95
            beyond.goodFraction shouldBeLessThan 0.3
            below.offered / 40.0 / capacityPerSecond shouldBe (0.5 * 0.4 plusOrMinus 0.05)
        }
    })
