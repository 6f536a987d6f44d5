package io.lavenderhinge.standins.platform

import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.long
import io.lavenderhinge.http.HttpHandler
import io.lavenderhinge.standins.ServingCommand

/** Runs the fake platform. */
class PlatformCommand : ServingCommand("platform") {
    private val listLagMillis by
        option(help = "delay before a change of the live list is visible, ms").long().default(0)

    override fun handler(): HttpHandler = PlatformHandler(listLagMillis)
}
