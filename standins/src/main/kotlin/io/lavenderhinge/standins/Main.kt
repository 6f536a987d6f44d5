package io.lavenderhinge.standins

import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.core.subcommands
import io.lavenderhinge.standins.engine.EngineCommand
import io.lavenderhinge.standins.platform.PlatformCommand
import io.lavenderhinge.standins.service.ServiceCommand

fun main(arguments: Array<String>) {
    System.setProperty("logback.configurationFile", "logback-standins.xml")
    StandinsCommand()
        .subcommands(
            PlatformCommand(),
            EngineCommand(),
            ServiceCommand(),
            CallCommand(),
            LoadCommand(),
        )
        .main(arguments)
}
