package io.lavenderhinge.experiments

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.multiple
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.choice
import com.github.ajalt.clikt.parameters.types.double
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import com.github.ajalt.clikt.parameters.types.restrictTo
import io.lavenderhinge.experiments.report.RunReport
import io.lavenderhinge.experiments.report.textTable
import io.lavenderhinge.experiments.report.toJson
import io.lavenderhinge.experiments.run.FaultKind
import io.lavenderhinge.experiments.run.Scenario
import io.lavenderhinge.experiments.run.ScenarioRunner
import io.lavenderhinge.experiments.scheduler.Schedulers
import io.lavenderhinge.experiments.workload.Deployments

/** Compares schedulers over a grid of deployments, loads and faults. */
internal class CompareCommand : CliktCommand(name = "compare") {
    private val deployment by
        option(help = "Fleet and traffic; may be repeated")
            .choice(Deployments.byName)
            .multiple(default = listOf(Deployments.caprock, Deployments.pelnu))
    private val scheduler by
        option(help = "Scheduler; may be repeated")
            .choice(Schedulers.byName)
            .multiple(default = Schedulers.all)
    private val load by
        option(help = "Arrival rate as a multiple of measured capacity; may be repeated")
            .double()
            .restrictTo(min = 0.01)
            .multiple(default = listOf(0.7, 1.0, 1.5, 2.5))
    private val fault by
        option(help = "Fault; may be repeated")
            .choice(FaultKind.entries.associateBy { it.optionName })
            .multiple(default = FaultKind.entries)
    private val seed by option(help = "First seed").long().default(1)
    private val seeds by
        option(help = "Number of seeds per combination").int().restrictTo(min = 1).default(1)
    private val duration by
        option(help = "Measurement window in seconds of virtual time")
            .int()
            .restrictTo(min = 1)
            .default(120)
    private val output by option(help = "Output format").choice("table", "json").default("table")

    override fun help(context: Context) = "Compares schedulers over a grid of loads and faults."

    override fun run() {
        val runner = ScenarioRunner()
        val scenarios = grid(runner)
        val reports =
            scenarios.zip(runner.run(scenarios, seeds)).map { (scenario, result) ->
                RunReport(scenario, result)
            }
        echo(
            if (output == "json") toJson(reports.map { it.json() })
            else textTable(RunReport.COMPARE_HEADER, reports.map { it.compareRow() })
        )
    }

    private fun grid(runner: ScenarioRunner): List<Scenario> =
        deployment.flatMap { fleet ->
            val capacityPerSecond = runner.capacityPerSecond(fleet)
            fault.flatMap { kind ->
                load.flatMap { factor ->
                    scheduler.map {
                        Scenario(fleet, it, factor, kind, seed, duration, capacityPerSecond)
                    }
                }
            }
        }
}
