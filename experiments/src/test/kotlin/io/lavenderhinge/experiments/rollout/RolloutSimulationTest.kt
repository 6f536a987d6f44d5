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
        // With 0.1% false alarms for each rollout, two or more in 16 runs have a probability of
        // 1.2e-4 (16 * 15 / 2 * 0.001^2).
        test("given good versions, when moved, then at most one of 16 is not done in time") {
            val results =
                Deployment.all.flatMap {
                    run(it, VersionKind.GOOD) + run(it, VersionKind.GOOD_WITH_BURSTS)
                }

            results.size shouldBe 16
            results.count { it.phase != RolloutPhase.DONE } shouldBeLessThanOrEqual 1
        }

        // Guards against a kind of fault that one of the tests, routes or phases leaves out.
        for (kind in VersionKind.entries.filter { it.bad }) {
            test("given a version with ${kind.name}, when moved, then it is rolled back") {
                val results = run(Deployment.pelnu, kind)

                results.map { it.phase }.distinct() shouldBe listOf(RolloutPhase.UNDONE)
            }
        }

        test("given the platform down for 10 minutes, when a version is bad, then it is stopped") {
            val results = run(Deployment.caprock, VersionKind.ERRORS_LATER, outage = true)

            results.all { it.rejected } shouldBe true
        }

        // Shows that the comparison can fail a test: a plain threshold does alarm on good versions.
        test("given a plain threshold, when good versions are moved, then it raises false alarms") {
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
