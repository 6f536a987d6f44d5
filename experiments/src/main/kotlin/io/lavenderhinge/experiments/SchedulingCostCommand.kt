package io.lavenderhinge.experiments

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import io.lavenderhinge.experiments.cost.SchedulingCostBenchmark
import io.lavenderhinge.experiments.report.textTable

/** Measures the scheduling overhead of one instance for several fleet sizes. */
internal class SchedulingCostCommand : CliktCommand(name = "scheduling-cost") {
    private val seed by option(help = "Seed").long().default(1)
    private val seconds by
        option(help = "Measurement window in seconds of virtual time").int().default(30)

    override fun help(context: Context) =
        "Measures CPU time, memory and control traffic of the scheduling of one instance."

    override fun run() {
        val rows = FLEET_SIZES.map { SchedulingCostBenchmark(it, seed, seconds).measure().row() }
        echo(textTable(SchedulingCostBenchmark.HEADER, rows))
    }

    private companion object {
        val FLEET_SIZES = listOf(10, 40, 160, 320)
    }
}
