package io.lavenderhinge.experiments.rollout

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.multiple
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.enum
import com.github.ajalt.clikt.parameters.types.int
import java.util.concurrent.Callable
import java.util.concurrent.ExecutorService
import java.util.concurrent.Executors

/** Compares sequential tests on simulated rollouts of good and bad versions. */
class RolloutCommand : CliktCommand(name = "rollout") {
    private val seeds by option(help = "number of seeds").int().default(100)
    private val seed by option(help = "first seed").int().default(1)
    private val outage by
        option(help = "make the platform unavailable for 10 minutes during the rollout").flag()
    private val threads by option(help = "number of concurrent runs").int().default(4)
    private val tests by
        option("--test", help = "sequential test to compare (repeatable)")
            .enum<ComparedTest>()
            .multiple(ComparedTest.entries)
    private val kinds by
        option("--kind", help = "behaviour of the new version (repeatable)")
            .enum<VersionKind>()
            .multiple(VersionKind.entries)

    override fun help(context: Context) =
        "Compares sequential tests on simulated rollouts of good and bad versions."

    override fun run() {
        echo("seeds $seed to ${seed + seeds - 1}, outage $outage")
        val executor = Executors.newFixedThreadPool(threads)
        try {
            for (deployment in Deployment.all) {
                echo("\n${deployment.name}\n")
                printTable(RunSummary.goodVersionColumns, kinds.filterNot { it.bad }) { kind, test
                    ->
                    runAll(executor, deployment, kind, test).goodVersionRow()
                }
                printTable(RunSummary.badVersionColumns, kinds.filter { it.bad }) { kind, test ->
                    runAll(executor, deployment, kind, test).badVersionRow()
                }
            }
        } finally {
            executor.shutdown()
        }
    }

    private fun runAll(
        executor: ExecutorService,
        deployment: Deployment,
        kind: VersionKind,
        test: ComparedTest,
    ): RunSummary {
        val runs =
            (seed until seed + seeds).map {
                Callable {
                    RolloutSimulation(RunSettings(deployment, kind, test, it, outage)).run()
                }
            }
        return RunSummary(executor.invokeAll(runs).map { it.get() })
    }

    private fun printTable(
        columns: List<String>,
        rows: List<VersionKind>,
        cells: (VersionKind, ComparedTest) -> List<String>,
    ) {
        if (rows.isEmpty()) return
        val header = listOf("version", "test") + columns
        echo(header.joinToString(" | ", "| ", " |"))
        echo(header.joinToString(" | ", "| ", " |") { "---" })
        for (kind in rows) {
            for (test in tests) {
                val cellsOfRow = listOf(label(kind.name), label(test.name)) + cells(kind, test)
                echo(cellsOfRow.joinToString(" | ", "| ", " |"))
            }
        }
        echo("")
    }

    private fun label(name: String) = name.lowercase().replace('_', ' ')
}
