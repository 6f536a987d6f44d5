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

        // Guards against requests that the simulation loses or ends twice, which distorts goodput.
        FaultKind.entries.forEach { fault ->
            test("given fault ${fault.optionName}, when overloaded, then every arrival ends once") {
                val result = ExperimentRun(scenario(1.5, fault)).run()

                // The two-choices scheduler ignores tiers, so TOP_TIER_FIRST does not apply to it.
                result.violations.minus(Invariant.TOP_TIER_FIRST).shouldBeEmpty()
                result.groups.values.forEach { group ->
                    group.outcomes.values.sum() shouldBe group.offeredCount
                }
            }
        }

        // Guards against nondeterminism, such as wall-clock time or hash order affecting a run.
        test("given a seed, when run twice, then results are equal, and another seed differs") {
            val first = ExperimentRun(scenario(1.0, FaultKind.DOMAIN_CUT)).run()

            ExperimentRun(scenario(1.0, FaultKind.DOMAIN_CUT)).run() shouldBe first
            ExperimentRun(scenario(1.0, FaultKind.DOMAIN_CUT, seed = 2)).run() shouldNotBe first
        }

        // Guards against a miscalibrated workload: latency targets must be reachable below capacity
        // and unreachable for a first-come, first-served queue far above it.
        test("given two-choices, when load exceeds capacity, then goodput collapses") {
            val below = ExperimentRun(scenario(0.5)).run().groups.getValue(RequestGroup.INTERACTIVE)
            val beyond =
                ExperimentRun(scenario(2.5)).run().groups.getValue(RequestGroup.INTERACTIVE)

            below.goodFraction shouldBeGreaterThan 0.95
            beyond.goodFraction shouldBeLessThan 0.3
            below.offeredCount / 40.0 / capacityPerSecond shouldBe (0.5 * 0.4 plusOrMinus 0.05)
        }
    })
