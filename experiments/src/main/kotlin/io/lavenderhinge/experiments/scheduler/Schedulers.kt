package io.lavenderhinge.experiments.scheduler

/** The schedulers that the experiment command can run, by the name used on its command line. */
object Schedulers {
    /** Add a line for each further scheduler. */
    val byName: Map<String, SchedulerFactory> = mapOf()
}
