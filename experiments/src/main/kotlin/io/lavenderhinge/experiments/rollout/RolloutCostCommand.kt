package io.lavenderhinge.experiments.rollout

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.int
import io.lavenderhinge.core.rollout.RolloutIntervals
import java.util.Locale

/** Measures the cost of a rollout for the controller and each instance at several fleet sizes. */
class RolloutCostCommand : CliktCommand(name = "rollout-cost") {
    private val routes by option(help = "number of routes of the target").int().default(4)
    private val requests by option(help = "requests per second at each instance").int().default(30)
    private val seconds by option(help = "measured seconds of virtual time").int().default(1_200)

    override fun help(context: Context) =
        "Measures CPU time, memory and network traffic of rollouts."

    override fun run() {
        RolloutCostBenchmark(FLEETS.first(), routes, requests).apply { warmUp(seconds) }
        echo(COLUMNS.joinToString(" | ", "| ", " |"))
        echo(COLUMNS.joinToString(" | ", "| ", " |") { "---" })
        for (fleet in FLEETS) echo(row(fleet).joinToString(" | ", "| ", " |"))
    }

    private fun row(fleet: Int): List<String> {
        val benchmark = RolloutCostBenchmark(fleet, routes, requests)
        val bytes = benchmark.reportSizeBytes()
        val period = RolloutIntervals().reportPeriodMillis(fleet, bytes)
        return listOf(
            fleet.toString(),
            "%.1f".format(Locale.ROOT, period / MILLIS),
            bytes.toString(),
            percent(benchmark.controllerCpuFraction(seconds)),
            kilobytes(benchmark.controllerHeapBytes()),
            "%.0f".format(Locale.ROOT, fleet * bytes * MILLIS / period),
            percent(benchmark.instanceCpuFraction(seconds)),
            kilobytes(benchmark.instanceHeapBytes()),
            "%.0f".format(Locale.ROOT, bytes * MILLIS / period),
        )
    }

    private fun percent(fraction: Double) = "%.4f".format(Locale.ROOT, fraction * 100)

    private fun kilobytes(bytes: Long) = "%.0f".format(Locale.ROOT, bytes / 1024.0)

    private companion object {
        val FLEETS = listOf(10, 40, 160, 320)
        const val MILLIS = 1_000.0
        val COLUMNS =
            listOf(
                "instances",
                "report period s",
                "report bytes",
                "mover % of a core",
                "mover KB",
                "mover receives B/s",
                "instance % of a core",
                "instance KB",
                "instance sends B/s",
            )
    }
}
