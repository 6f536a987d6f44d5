package io.lavenderhinge.experiments

import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.core.subcommands

fun main(arguments: Array<String>) =
    ExperimentsCommand()
        .subcommands(ScheduleCommand(), CompareCommand(), SoakCommand(), SchedulingCostCommand())
        .main(arguments)
