package io.lavenderhinge.experiments.scheduler

import io.lavenderhinge.experiments.baseline.DirectScheduler
import io.lavenderhinge.experiments.baseline.LeastLocalInFlight
import io.lavenderhinge.experiments.baseline.PowerOfTwoChoices
import io.lavenderhinge.experiments.baseline.RandomSelection
import io.lavenderhinge.experiments.baseline.RoundRobinSelection
import io.lavenderhinge.experiments.core.CoreScheduler

/** A scheduler that can be run. Invariant I2 is demanded only of one that [enforcesPriority]. */
data class NamedScheduler(
    val name: String,
    val enforcesPriority: Boolean,
    val factory: SchedulerFactory,
)

/** The schedulers that the experiment command can run, by the name used on its command line. */
object Schedulers {
    /** Add an entry for each further scheduler. */
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
