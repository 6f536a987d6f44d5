package io.lavenderhinge.ctl

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.core.subcommands

/** Builds the root command with all subcommands. */
fun createRootCommand(environment: Environment): CliktCommand =
    RootCommand()
        .subcommands(
            ValidateCommand(environment),
            DiffCommand(environment),
            ApplyCommand(environment),
            ShowCommand(environment),
            HistoryCommand(environment),
            StatusCommand(environment),
            ExplainCommand(environment),
            CheckCommand(environment),
        )

fun main(arguments: Array<String>) {
    System.setProperty("logback.configurationFile", "logback-ctl.xml")
    SystemEnvironment().use { environment -> createRootCommand(environment).main(arguments) }
}
