package io.lavenderhinge.experiments.rollout

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.int
import io.lavenderhinge.core.rollout.RolloutIntervals
import java.util.Locale

/** Measures what a rollout costs the mover and each instance, by size of the fleet. */
class RolloutCostCommand : CliktCommand(name = "rollout-cost") {
    private val routes by option(help = "routes of the target").int().default(4)
    private val requests by option(help = "requests a second at each instance").int().default(30)
    private val seconds by option(help = "virtual seconds measured").int().default(1_200)

    override fun help(context: Context) = "Processor time, memory and bytes of rollouts"

    override fun run() {
        CostProbe(FLEETS.first(), routes, requests).apply { warmUp(seconds) }
        echo(COLUMNS.joinToString(" | ", "| ", " |"))
        echo(COLUMNS.joinToString(" | ", "| ", " |") { "---" })
        for (fleet in FLEETS) echo(row(fleet).joinToString(" | ", "| ", " |"))
    }

    private fun row(fleet: Int): List<String> {
        val probe = CostProbe(fleet, routes, requests)
        val bytes = probe.reportBytes()
        val period = RolloutIntervals().reportPeriodMillis(fleet, bytes)
        return listOf(
            fleet.toString(),
            "%.1f".format(Locale.ROOT, period / MILLIS),
            bytes.toString(),
            percent(probe.moverCpuFraction(seconds)),
            kilobytes(probe.moverBytes()),
            "%.0f".format(Locale.ROOT, fleet * bytes * MILLIS / period),
            percent(probe.instanceCpuFraction(seconds)),
            kilobytes(probe.instanceBytes()),
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
