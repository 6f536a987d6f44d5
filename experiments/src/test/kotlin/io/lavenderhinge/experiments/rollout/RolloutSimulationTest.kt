package io.lavenderhinge.experiments.rollout

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.lavenderhinge.core.rollout.RolloutPhase

private val seeds = 1..4

private fun run(deployment: Deployment, kind: VersionKind, outage: Boolean = false) =
    seeds.map {
        RolloutSimulation(RunSettings(deployment, kind, ComparedTest.E_VALUE, it, outage)).run()
    }

class RolloutSimulationTest :
    FunSpec({
        // Guards against more false alarms than the budget of 0.1% per rollout. With that rate, two
        // or more false alarms in 16 runs have a probability of 1.2e-4 (16 * 15 / 2 * 0.001^2).
        test("given good versions, when rolled out, then at most one of 16 does not complete") {
            val results =
                Deployment.all.flatMap {
                    run(it, VersionKind.GOOD) + run(it, VersionKind.GOOD_WITH_BURSTS)
                }

            results.size shouldBe 16
            results.count { it.phase != RolloutPhase.DONE } shouldBeLessThanOrEqual 1
        }

        // Guards against kinds of fault that no metric, route or rollout phase detects.
        for (kind in VersionKind.entries.filter { it.bad }) {
            test("given a version with ${kind.name}, when rolled out, then it is rolled back") {
                val results = run(Deployment.pelnu, kind)

                results.map { it.phase }.distinct() shouldBe listOf(RolloutPhase.UNDONE)
            }
        }

        // Guards against a bad version that stays in use because the platform is unavailable.
        test("given a platform outage of 10 minutes, when a version is bad, then it is rejected") {
            val results = run(Deployment.caprock, VersionKind.ERRORS_LATER, outage = true)

            results.all { it.rejected } shouldBe true
        }

        // Guards against a simulation that cannot reveal false alarms: a plain threshold must raise
        // some on good versions.
        test("given a plain threshold, when good versions roll out, then it raises false alarms") {
            val alarms =
                seeds.count {
                    val settings =
                        RunSettings(
                            Deployment.caprock,
                            VersionKind.GOOD_WITH_BURSTS,
                            ComparedTest.THRESHOLD,
                            it,
                            outage = false,
                        )
                    RolloutSimulation(settings).run().rejected
                }

            (alarms > 0) shouldBe true
        }
    })
