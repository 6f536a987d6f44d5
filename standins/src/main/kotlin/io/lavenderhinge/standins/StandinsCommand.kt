package io.lavenderhinge.standins

import com.github.ajalt.clikt.core.CliktCommand

/** Small fakes of the systems around lavenderhinge, for tests and the quick start. */
class StandinsCommand : CliktCommand(name = "standins") {
    override fun run() = Unit
}
