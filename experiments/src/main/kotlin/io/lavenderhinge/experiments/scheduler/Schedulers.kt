package io.lavenderhinge.experiments.scheduler

import io.lavenderhinge.experiments.baseline.DirectScheduler
import io.lavenderhinge.experiments.baseline.LeastOwnInFlight
import io.lavenderhinge.experiments.baseline.RandomChoice
import io.lavenderhinge.experiments.baseline.RoundRobinChoice
import io.lavenderhinge.experiments.baseline.TwoChoicesOnReports
import io.lavenderhinge.experiments.hinge.CoreScheduler

/** A scheduler that can be run. Invariant I2 is demanded only of one that [keepsPriority]. */
data class NamedScheduler(
    val name: String,
    val keepsPriority: Boolean,
    val factory: SchedulerFactory,
)

/** The schedulers that the experiment command can run, by the name used on its command line. */
object Schedulers {
    /** Add an entry for each further scheduler. */
    val all: List<NamedScheduler> =
        listOf(
            NamedScheduler("random", keepsPriority = false) { DirectScheduler(it, RandomChoice()) },
            NamedScheduler("round-robin", keepsPriority = false) {
                DirectScheduler(it, RoundRobinChoice(it.random))
            },
            NamedScheduler("two-choices", keepsPriority = false) {
                DirectScheduler(it, TwoChoicesOnReports(), watchesLoad = true)
            },
            NamedScheduler("least-own", keepsPriority = false) {
                DirectScheduler(it, LeastOwnInFlight())
            },
            NamedScheduler("lavenderhinge", keepsPriority = true) { CoreScheduler(it) },
        )

    val byName: Map<String, NamedScheduler> = all.associateBy { it.name }
}
