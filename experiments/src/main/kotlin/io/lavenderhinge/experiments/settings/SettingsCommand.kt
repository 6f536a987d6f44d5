package io.lavenderhinge.experiments.settings

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.multiple
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.enum
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long

/** Subcommand `settings`: how fast settings and membership follow, and at what cost. */
class SettingsCommand : CliktCommand(name = "settings") {
    private val seed by option(help = "first seed").long().default(1)
    private val seeds by option(help = "number of seeds").int().default(3)
    private val instances by
        option(help = "sizes of the fleet").int().multiple(default = listOf(10, 40, 160, 320))
    private val teams by option(help = "teams of four workspaces").int().default(100)
    private val changeSeconds by option(help = "seconds between changes").long().default(10)
    private val scenarios by
        option("--scenario", help = "what goes wrong")
            .enum<Scenario> { it.name.lowercase().replace('_', '-') }
            .multiple(default = Scenario.entries)

    override fun help(context: Context): String =
        "Runs the settings replica and membership table of a fleet in virtual time."

    override fun run() {
        var failed = false
        echo("times are 50th / 99th percentile / largest (samples)")
        scenarios.forEach { scenario ->
            instances.forEach { size ->
                val results =
                    (seed until seed + seeds).map { seed ->
                        val plan =
                            RunPlan(
                                scenario,
                                size,
                                teams,
                                seed,
                                changeIntervalMillis = changeSeconds * 1_000,
                            )
                        SettingsRun.run(plan)
                    }
                printResults(scenario, size, results)
                failed =
                    failed || results.any { it.revisionRegressions > 0 || it.missedActivations > 0 }
            }
        }
        if (failed) throw ProgramResult(1)
    }

    private fun printResults(scenario: Scenario, size: Int, results: List<RunResult>) {
        fun merged(samples: (RunResult) -> Samples) =
            Samples().apply { results.forEach { addAll(samples(it)) } }
        echo("$scenario, $size instances, $teams teams, seeds $seed to ${seed + seeds - 1}")
        echo("  in force on an instance   ${merged { it.instanceActivationDelays }}")
        echo("  in force everywhere       ${merged { it.fleetActivationDelays }}")
        echo("  went back                 ${results.sumOf { it.revisionRegressions }}")
        echo("  never in force            ${results.sumOf { it.missedActivations }}")
        val calls = results.maxOf { it.platformCallsPerSecond }
        echo("  key-value calls           %.2f /s, largest run".format(calls))
        val bytes = merged { it.bytesPerSecond }
        echo("  bytes of an instance      ${bytes.quantile(0.5)} median, ${bytes.max()} /s most")
        val share = results.maxOf { it.coreFraction } * 100
        echo("  processor of an instance  %.3f%% of a core, largest run".format(share))
        val outside = results.sumOf { it.falseSuspicionsAcrossDomains }
        val inside = results.sumOf { it.falseSuspicionsInDomain }
        echo("  false suspicions          $inside in the domain, $outside outside")
        printSamples("server leaving at its home", merged { it.serverLeaveDetection })
        printSamples("crash noticed in domain", merged { it.crashDetection })
        printSamples("silent host noticed", merged { it.silentHostDetection })
        printSamples("restarted to ready", merged { it.restartToReady })
        printSamples("domain loss noticed", merged { it.domainLossDetection })
        printSamples("domain all back", merged { it.domainRecovery })
    }

    private fun printSamples(title: String, samples: Samples) {
        if (samples.count > 0) echo("  ${title.padEnd(25)} $samples")
    }
}
