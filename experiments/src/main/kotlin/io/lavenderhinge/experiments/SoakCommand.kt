package io.lavenderhinge.experiments

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.choice
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import com.github.ajalt.clikt.parameters.types.restrictTo
import io.lavenderhinge.experiments.report.formatPercent
import io.lavenderhinge.experiments.run.ScenarioRunner
import io.lavenderhinge.experiments.run.SoakPlan
import io.lavenderhinge.experiments.run.SoakResult
import io.lavenderhinge.experiments.scheduler.Schedulers
import io.lavenderhinge.experiments.workload.Deployments

/** Checks a scheduler's invariants under random faults; exits with status 1 on a violation. */
internal class SoakCommand : CliktCommand(name = "soak") {
    private val deployment by
        option(help = "Fleet and traffic").choice(Deployments.byName).default(Deployments.caprock)
    private val scheduler by
        option(help = "Scheduler under test")
            .choice(Schedulers.byName)
            .default(Schedulers.all.last())
    private val duration by
        option(help = "Seconds of virtual time, in episodes of 300 s with consecutive seeds")
            .int()
            .restrictTo(min = 1)
            .default(EPISODE_SECONDS)
    private val seed by option(help = "Seed of the first episode").long().default(1)

    override fun help(context: Context) = "Checks the scheduling invariants under random faults."

    override fun run() {
        val runner = ScenarioRunner()
        val plans = plans(runner.capacityPerSecond(deployment))
        val results = runner.soak(plans) { echo(formatResult(it)) }
        val failed = results.filterNot(SoakResult::isClean)
        for (result in failed) {
            result.violationTexts.forEach { echo("seed ${result.seed}: $it", err = true) }
            result.failure?.let { echo("seed ${result.seed}: $it", err = true) }
        }
        echo("${results.size} episodes, ${failed.size} with violations")
        if (failed.isNotEmpty()) throw ProgramResult(statusCode = 1)
    }

    private fun plans(capacityPerSecond: Double): List<SoakPlan> {
        val episodes = (duration + EPISODE_SECONDS - 1) / EPISODE_SECONDS
        return List(episodes) {
            val remainingSeconds = duration - it * EPISODE_SECONDS
            SoakPlan(
                deployment,
                scheduler,
                seed + it,
                minOf(remainingSeconds, EPISODE_SECONDS),
                capacityPerSecond,
            )
        }
    }

    private fun formatResult(result: SoakResult): String =
        "seed ${result.seed}: ${result.requests} requests, ${result.faults} faults, " +
            "good ${formatPercent(result.goodFraction)}, " +
            if (result.isClean) "no violations"
            else "violations ${result.violations}, exception ${result.failure != null}"

    private companion object {
        const val EPISODE_SECONDS = 300
    }
}
