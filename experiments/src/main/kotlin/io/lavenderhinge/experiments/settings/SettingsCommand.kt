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

/** Measures how fast settings and membership changes propagate, and at what cost. */
class SettingsCommand : CliktCommand(name = "settings") {
    private val seed by option(help = "first seed").long().default(1)
    private val seeds by option(help = "number of seeds").int().default(3)
    private val instances by
        option(help = "number of instances (repeatable)")
            .int()
            .multiple(default = listOf(10, 40, 160, 320))
    private val teams by
        option(help = "number of teams, each with four workspaces").int().default(100)
    private val changeSeconds by option(help = "seconds between changes").long().default(10)
    private val scenarios by
        option("--scenario", help = "fault scenario (repeatable)")
            .enum<Scenario> { it.name.lowercase().replace('_', '-') }
            .multiple(default = Scenario.entries)

    override fun help(context: Context): String =
        "Runs the settings replica and membership table of a fleet in virtual time."

    override fun run() {
        var failed = false
        echo("times are 50th / 99th percentile / maximum (samples)")
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
        echo("  activated on an instance  ${merged { it.instanceActivationDelays }}")
        echo("  activated on all          ${merged { it.fleetActivationDelays }}")
        echo("  revision regressions      ${results.sumOf { it.revisionRegressions }}")
        echo("  missed activations        ${results.sumOf { it.missedActivations }}")
        val calls = results.maxOf { it.platformCallsPerSecond }
        echo("  key-value calls           %.2f /s, highest run".format(calls))
        val bytes = merged { it.bytesPerSecond }
        echo("  bytes per instance        ${bytes.quantile(0.5)} /s median, ${bytes.max()} /s max")
        val share = results.maxOf { it.coreFraction } * 100
        echo("  CPU per instance          %.3f%% of a core, highest run".format(share))
        val outside = results.sumOf { it.falseSuspicionsAcrossDomains }
        val inside = results.sumOf { it.falseSuspicionsInDomain }
        echo("  false suspicions          $inside in the same domain, $outside in others")
        printSamples("server leave seen at home", merged { it.serverLeaveDetection })
        printSamples("crash detected in domain", merged { it.crashDetection })
        printSamples("silent host detected", merged { it.silentHostDetection })
        printSamples("restart until ready", merged { it.restartToReady })
        printSamples("domain loss detected", merged { it.domainLossDetection })
        printSamples("domain fully recovered", merged { it.domainRecovery })
    }

    private fun printSamples(title: String, samples: Samples) {
        if (samples.count > 0) echo("  ${title.padEnd(25)} $samples")
    }
}
