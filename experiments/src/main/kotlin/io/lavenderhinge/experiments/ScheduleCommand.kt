package io.lavenderhinge.experiments

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.choice
import com.github.ajalt.clikt.parameters.types.double
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import com.github.ajalt.clikt.parameters.types.restrictTo
import io.lavenderhinge.experiments.report.RunReport
import io.lavenderhinge.experiments.report.toJson
import io.lavenderhinge.experiments.run.FaultKind
import io.lavenderhinge.experiments.run.Scenario
import io.lavenderhinge.experiments.run.ScenarioRunner
import io.lavenderhinge.experiments.scheduler.Schedulers
import io.lavenderhinge.experiments.workload.Deployments

/** Measures one scheduler on one deployment under a given load and fault. */
internal class ScheduleCommand : CliktCommand(name = "schedule") {
    private val deployment by
        option(help = "Fleet and traffic").choice(Deployments.byName).default(Deployments.caprock)
    private val scheduler by
        option(help = "Scheduler under test")
            .choice(Schedulers.byName)
            .default(Schedulers.byName.getValue("two-choices"))
    private val load by
        option(help = "Arrival rate as a multiple of measured capacity")
            .double()
            .restrictTo(min = 0.01)
            .default(1.0)
    private val fault by
        option(help = "Fault injected during the run")
            .choice(FaultKind.entries.associateBy { it.optionName })
            .default(FaultKind.NONE)
    private val seed by option(help = "First seed").long().default(1)
    private val seeds by
        option(help = "Number of consecutive seeds; their results are merged")
            .int()
            .restrictTo(min = 1)
            .default(1)
    private val duration by
        option(help = "Measurement window in seconds of virtual time")
            .int()
            .restrictTo(min = 1)
            .default(120)
    private val output by option(help = "Output format").choice("table", "json").default("table")

    override fun help(context: Context) = "Measures one scheduler under a given load and fault."

    override fun run() {
        val runner = ScenarioRunner()
        val scenario =
            Scenario(
                deployment,
                scheduler,
                load,
                fault,
                seed,
                duration,
                runner.capacityPerSecond(deployment),
            )
        val report = RunReport(scenario, runner.run(listOf(scenario), seeds).single())
        echo(if (output == "json") toJson(report.json()) else report.text())
    }
}
