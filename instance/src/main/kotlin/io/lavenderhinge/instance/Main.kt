package io.lavenderhinge.instance

import com.github.ajalt.clikt.core.main
import java.util.logging.Level
import java.util.logging.Logger

// Held so that the level is not lost when the logger is collected.
private val grpcLogger = Logger.getLogger("io.grpc")

fun main(arguments: Array<String>) {
    grpcLogger.level = Level.WARNING
    InstanceCommand().main(arguments)
}
