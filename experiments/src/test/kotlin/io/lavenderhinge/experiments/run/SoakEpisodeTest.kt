package io.lavenderhinge.experiments.run

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.maps.shouldContainKey
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.lavenderhinge.experiments.cluster.Invariant
import io.lavenderhinge.experiments.scheduler.InstanceScheduler
import io.lavenderhinge.experiments.scheduler.NamedScheduler
import io.lavenderhinge.experiments.scheduler.SchedulerEffect
import io.lavenderhinge.experiments.scheduler.SchedulerEvent
import io.lavenderhinge.experiments.scheduler.SchedulerFactory
import io.lavenderhinge.experiments.scheduler.Schedulers
import io.lavenderhinge.experiments.workload.Deployments

class SoakEpisodeTest :
    FunSpec({
        fun plan(scheduler: NamedScheduler, seed: Long = 1, seconds: Int = 60) =
            SoakPlan(Deployments.caprock, scheduler, seed, seconds, capacityPerSecond = 82.0)

        // Guards against invariant violations under overlapping faults; the seed reproduces a
        // failure.
        Schedulers.all
            .filter { it.enforcesPriority || it.name == "two-choices" }
            .forEach { scheduler ->
                listOf(1L, 2L, 3L).forEach { seed ->
                    test(
                        "given ${scheduler.name} and seed $seed, when soaked, then invariants hold"
                    ) {
                        val result = SoakEpisode(plan(scheduler, seed, seconds = 120)).run()

                        result.violationTexts.takeUnless { result.isClean } shouldBe null
                        result.failure shouldBe null
                    }
                }
            }

        // Guards against invariant checks that never report a violation.
        test(
            "given a scheduler that dispatches twice, when soaked, then AT_MOST_ONCE is reported"
        ) {
            val twice = SchedulerFactory {
                InstanceScheduler { event, _ ->
                    if (event is SchedulerEvent.RequestArrived)
                        listOf("engine-0", "engine-1").map {
                            SchedulerEffect.Dispatch(event.request.id, it)
                        }
                    else emptyList()
                }
            }
            val result = SoakEpisode(plan(NamedScheduler("twice", false, twice))).run()

            result.violations.shouldContainKey(Invariant.AT_MOST_ONCE)
        }

        // Guards against a crashing scheduler that is reported as a clean episode.
        test("given a scheduler that throws, when soaked, then the exception is reported") {
            val broken = SchedulerFactory { InstanceScheduler { _, _ -> error("broken") } }
            val result = SoakEpisode(plan(NamedScheduler("broken", false, broken))).run()

            result.failure.shouldNotBeNull()
        }
    })
