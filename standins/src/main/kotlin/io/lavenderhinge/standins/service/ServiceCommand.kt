package io.lavenderhinge.standins.service

import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.long
import io.lavenderhinge.http.HttpHandler
import io.lavenderhinge.standins.ServingCommand

/** Runs a fake plain service. */
class ServiceCommand : ServingCommand("service") {
    private val workMillis by option(help = "processing time of a call, ms").long().default(5)

    override fun handler(): HttpHandler = ServiceHandler(workMillis)
}
