package io.lavenderhinge.experiments

import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.core.subcommands
import io.lavenderhinge.experiments.ledger.LedgerCommand
import io.lavenderhinge.experiments.rollout.RolloutCommand
import io.lavenderhinge.experiments.rollout.RolloutCostCommand
import io.lavenderhinge.experiments.settings.SettingsCommand

fun main(arguments: Array<String>) =
    ExperimentsCommand()
        .subcommands(
            CompareCommand(),
            LedgerCommand(),
            RolloutCommand(),
            RolloutCostCommand(),
            ScheduleCommand(),
            SchedulingCostCommand(),
            SettingsCommand(),
            SoakCommand(),
        )
        .main(arguments)
