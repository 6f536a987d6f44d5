package io.lavenderhinge.experiments

import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.core.subcommands
import io.lavenderhinge.experiments.rollout.RolloutCommand
import io.lavenderhinge.experiments.rollout.RolloutCostCommand

fun main(arguments: Array<String>) =
    ExperimentsCommand()
        .subcommands(
            // One line for each experiment.
            RolloutCommand(),
            RolloutCostCommand(),
        )
        .main(arguments)
