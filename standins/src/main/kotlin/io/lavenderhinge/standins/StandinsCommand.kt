package io.lavenderhinge.standins

import com.github.ajalt.clikt.core.CliktCommand

/** Fakes of the systems that lavenderhinge depends on, for tests and the quick start. */
class StandinsCommand : CliktCommand(name = "standins") {
    override fun run() = Unit
}
