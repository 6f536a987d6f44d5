package io.lavenderhinge.instance

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.path
import io.lavenderhinge.core.settings.Bootstrap
import io.lavenderhinge.core.settings.BootstrapParser
import java.io.IOException
import java.nio.file.Path
import kotlin.io.path.readText
import kotlin.system.exitProcess

/** Runs one entry instance until it is told to end; SIGTERM shuts it down gracefully. */
class InstanceCommand : CliktCommand(name = "lavenderhinge") {
    private val config by
        option(help = "the instance's own INI file")
            .path(mustExist = true, canBeDir = false, mustBeReadable = true)
            .required()

    override fun help(context: Context) =
        "Runs one entry instance of the request scheduler. Settings come from the shared tree."

    override fun run() {
        val instance = Instance(read(config))
        try {
            instance.start()
        } catch (e: IOException) {
            // The other listeners' threads would keep a half-started process alive.
            echo("cannot listen: ${e.message}; check [listen] in $config", err = true)
            exitProcess(CANNOT_LISTEN)
        }
        Runtime.getRuntime().addShutdownHook(Thread { instance.shutdown() })
        Thread.currentThread().join()
    }

    private fun read(file: Path): Bootstrap =
        BootstrapParser.parse(file.readText(), file.toString())
            .fold(
                { faults ->
                    faults.forEach { echo(it.message, err = true) }
                    throw ProgramResult(INVALID_SETTINGS)
                },
                { it },
            )

    private companion object {
        const val INVALID_SETTINGS = 2
        const val CANNOT_LISTEN = 3
    }
}
