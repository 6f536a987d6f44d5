package io.lavenderhinge.experiments

import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.core.subcommands
import io.lavenderhinge.experiments.settings.SettingsCommand

fun main(arguments: Array<String>) =
    ExperimentsCommand().subcommands(SettingsCommand()).main(arguments)
