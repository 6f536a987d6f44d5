package io.lavenderhinge.experiments.scheduler

import io.lavenderhinge.experiments.baseline.DirectScheduler
import io.lavenderhinge.experiments.baseline.LeastLocalInFlight
import io.lavenderhinge.experiments.baseline.PowerOfTwoChoices
import io.lavenderhinge.experiments.baseline.RandomSelection
import io.lavenderhinge.experiments.baseline.RoundRobinSelection
import io.lavenderhinge.experiments.core.CoreScheduler

/** Selectable scheduler. Invariant I2 is checked only if [enforcesPriority] is set. */
data class NamedScheduler(
    val name: String,
    val enforcesPriority: Boolean,
    val factory: SchedulerFactory,
)

/** Schedulers that the commands can run, by the name of their option value. */
object Schedulers {
    val all: List<NamedScheduler> =
        listOf(
            NamedScheduler("random", enforcesPriority = false) {
                DirectScheduler(it, RandomSelection())
            },
            NamedScheduler("round-robin", enforcesPriority = false) {
                DirectScheduler(it, RoundRobinSelection(it.random))
            },
            NamedScheduler("two-choices", enforcesPriority = false) {
                DirectScheduler(it, PowerOfTwoChoices(), watchesLoad = true)
            },
            NamedScheduler("least-own", enforcesPriority = false) {
                DirectScheduler(it, LeastLocalInFlight())
            },
            NamedScheduler("lavenderhinge", enforcesPriority = true) { CoreScheduler(it) },
        )

    val byName: Map<String, NamedScheduler> = all.associateBy { it.name }
}
