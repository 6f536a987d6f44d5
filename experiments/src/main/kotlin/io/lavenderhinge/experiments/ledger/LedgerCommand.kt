package io.lavenderhinge.experiments.ledger

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.double
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import io.lavenderhinge.core.ledger.LedgerLimits

/** Simulates the ledger of many instances and checks its results against the executions. */
class LedgerCommand : CliktCommand(name = "ledger") {
    private val seed by
        option(help = "seed of the run, or first seed with --seeds").long().default(1)
    private val seeds by
        option(help = "number of randomised runs with small ledger limits").int().default(0)
    private val duration by option(help = "seconds of virtual time").int().default(60)
    private val instances by option().int().default(9)
    private val requestsPerSecond by option().double().default(40.0)
    private val faults by option(help = "inject faults").flag()
    private val takeover by
        option(help = "measure a takeover and the memory use after the run").flag()
    private val retention by option(help = "retention of answers in seconds").int().default(600)
    private val answerBytes by option().int().default(200)
    private val sealKib by
        option(help = "head size in KiB above which it is sealed").int().default(16)

    override fun run() {
        val passed = if (seeds > 0) runSeeds() else runOne()
        if (!passed) throw ProgramResult(1)
    }

    private fun runOne(): Boolean {
        val settings =
            LedgerRunSettings(
                seed,
                duration * 1000L,
                instances,
                requestsPerSecond,
                LedgerLimits(sealThresholdBytes = sealKib * 1024),
                faults,
                retention * 1000L,
                answerBytes,
            )
        echo("seed $seed, $duration s, $instances instances, $requestsPerSecond requests/s")
        val simulation = LedgerSimulation(settings)
        val metrics = simulation.run()
        metrics.print { echo(it) }
        if (takeover) {
            simulation.measureTakeover().print { echo(it) }
            echo("heap bytes per kept key: %.0f".format(simulation.heapBytesPerKey()))
        }
        return metrics.violations.isEmpty()
    }

    private fun runSeeds(): Boolean {
        var failed = 0
        for (next in seed until seed + seeds) {
            val settings = LedgerRunSettings.randomised(next, duration * 1000L)
            val metrics = LedgerSimulation(settings).run()
            if (metrics.violations.isEmpty()) continue
            failed++
            echo("seed $next: ${metrics.violations.size} violations")
            metrics.print { echo("  $it") }
        }
        echo("seeds $seed to ${seed + seeds - 1}, $duration s each: $failed failed")
        return failed == 0
    }
}
