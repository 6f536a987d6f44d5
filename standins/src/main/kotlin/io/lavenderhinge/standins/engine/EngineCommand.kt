package io.lavenderhinge.standins.engine

import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.double
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import io.lavenderhinge.http.HttpHandler
import io.lavenderhinge.standins.ServingCommand

/** Runs a fake model engine. */
class EngineCommand : ServingCommand("engine") {
    private val initialVersion by
        option("--version", help = "version that is loaded at the start").default("1")
    private val stepMillis by
        option(help = "duration of a decoding step with a small batch, ms").long().default(10)
    private val prefillTokensPerSecond by
        option("--prefill", help = "prompt tokens processed per second").double().default(20_000.0)
    private val stepDoublingBatchSize by
        option("--knee", help = "batch size at which a decoding step takes twice as long")
            .int()
            .default(32)
    private val ignoresFencing by
        option(help = "accept orders with an outdated fencing number").flag()

    override fun handler(): HttpHandler =
        EngineHandler(
            EngineSpeed(prefillTokensPerSecond, stepMillis, stepDoublingBatchSize),
            initialVersion,
            checksOrders = !ignoresFencing,
        )
}
