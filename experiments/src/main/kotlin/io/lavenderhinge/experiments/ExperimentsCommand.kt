package io.lavenderhinge.experiments

import com.github.ajalt.clikt.core.CliktCommand

/** Runs experiments against the decision core in virtual time. */
class ExperimentsCommand : CliktCommand(name = "experiments") {
    override fun run() = Unit
}
