package io.lavenderhinge.instance

import arrow.core.Either
import arrow.core.NonEmptyList
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.CoreCliktCommand
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.core.UsageError
import com.github.ajalt.clikt.core.context
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.path
import io.lavenderhinge.core.settings.Address
import io.lavenderhinge.core.settings.BootstrapParser
import io.lavenderhinge.core.settings.GatewaySettingsParser
import io.lavenderhinge.core.settings.SettingsFault
import io.lavenderhinge.http.PreboundListener
import io.lavenderhinge.instance.gateway.Gateway
import java.io.IOException
import java.net.InetSocketAddress
import kotlin.io.path.readText
import kotlin.system.exitProcess
import sun.misc.Signal

/** Runs one entry instance until it is told to end; SIGTERM shuts it down gracefully. */
class InstanceCommand : CoreCliktCommand(name = "lavenderhinge") {
    private val platform by
        option(help = "serve the clients of the users' platform instead of the own interface")
            .flag()

    private val config by
        option(help = "the instance's own INI file")
            .path(mustExist = true, canBeDir = false, mustBeReadable = true)
            .required()

    private val listen by
        option(
            help = "with --platform: the clients' address, listened on before the settings are read"
        )

    init {
        // The core of Clikt leaves ending the process to its user.
        context { exitProcess = { status -> kotlin.system.exitProcess(status) } }
    }

    override fun help(context: Context) =
        "Runs one entry instance of the request scheduler. Settings come from the shared tree."

    override fun run() {
        if (platform) runGateway() else runInstance()
        Thread.currentThread().join()
    }

    private fun runInstance() {
        val instance = Instance(read(BootstrapParser.parse(config.readText(), "$config")))
        startOrExit(instance::start)
        Runtime.getRuntime().addShutdownHook(Thread { instance.shutdown() })
    }

    private fun runGateway() {
        val early = listen?.let(::listenEarly)
        val gateway = Gateway(read(gatewaySettings()))
        startOrExit { gateway.start(early) }
        Runtime.getRuntime().addShutdownHook(Thread { gateway.shutdown() })
        // Without a handler the runtime takes SIGHUP for an order to end.
        Signal.handle(Signal("HUP")) { gateway.reload(gatewaySettings()) }
    }

    private fun gatewaySettings() = GatewaySettingsParser.parse(config.readText(), "$config")

    private fun listenEarly(text: String): PreboundListener {
        val address =
            Address.parse(text) ?: throw UsageError("--listen needs HOST:PORT, not \"$text\"")
        try {
            return PreboundListener.bind(InetSocketAddress(address.ip, address.port))
        } catch (e: IOException) {
            echo("cannot listen on $text: ${e.message}; check --listen", err = true)
            exitProcess(CANNOT_LISTEN)
        }
    }

    private fun startOrExit(start: () -> Unit) {
        try {
            start()
        } catch (e: IOException) {
            // The other listeners' threads would keep a half-started process alive.
            echo("cannot listen: ${e.message}; check [listen] in $config", err = true)
            exitProcess(CANNOT_LISTEN)
        }
    }

    private fun <T> read(result: Either<NonEmptyList<SettingsFault>, T>): T =
        result.fold(
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
