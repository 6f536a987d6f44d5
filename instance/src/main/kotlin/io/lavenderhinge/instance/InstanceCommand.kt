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
import io.lavenderhinge.instance.gateway.SettingsReload
import java.io.IOException
import java.net.InetSocketAddress
import java.util.concurrent.CompletableFuture
import kotlin.io.path.readText
import kotlin.system.exitProcess
import org.slf4j.LoggerFactory
import sun.misc.Signal
import sun.misc.SignalHandler

/** Runs an instance until it is terminated; SIGTERM triggers a graceful shutdown. */
class InstanceCommand : CoreCliktCommand(name = "lavenderhinge") {
    private val platform by
        option(help = "serve clients of the users' platform instead of the scheduler's own API")
            .flag()

    private val config by
        option(help = "INI file of this instance")
            .path(mustExist = true, canBeDir = false, mustBeReadable = true)
            .required()

    private val listen by
        option(help = "with --platform: address for clients, bound before the settings are read")

    init {
        // CoreCliktCommand does not exit the process by default.
        context { exitProcess = { status -> kotlin.system.exitProcess(status) } }
    }

    override fun help(context: Context) =
        "Runs one entry instance of the request scheduler. Settings come from the shared tree."

    override fun run() {
        if (platform) runGateway() else runInstance()
        Thread.currentThread().join()
    }

    private fun runInstance() {
        val instance = Instance(valueOrExit(BootstrapParser.parse(config.readText(), "$config")))
        startOrExit(instance::start)
        Runtime.getRuntime().addShutdownHook(Thread { instance.shutdown() })
    }

    private fun runGateway() {
        val gateway = CompletableFuture<Gateway>()
        val reload = SettingsReload(::gatewaySettings) { gateway.join().reload(it) }
        // Signals may arrive as soon as a listener is open. Without these handlers, the JVM would
        // terminate on SIGHUP, and on SIGTERM without answering the requests that it accepted.
        val handlerBefore = Signal.handle(Signal("HUP")) { gateway.thenAccept { reload.run() } }
        Runtime.getRuntime().addShutdownHook(Thread { gateway.getNow(null)?.shutdown() })
        val preboundListener = listen?.let(::prebindListener)
        gateway.complete(Gateway(valueOrExit(gatewaySettings())))
        if (handlerBefore == SignalHandler.SIG_IGN) {
            // Initializing the log earlier would delay the listener.
            val log = LoggerFactory.getLogger(InstanceCommand::class.java)
            log.warn(
                "gateway: SIGHUP is ignored because the parent process ignored it, " +
                    "as nohup does; settings cannot be reloaded"
            )
        }
        startOrExit { gateway.join().start(preboundListener) }
    }

    private fun gatewaySettings() = GatewaySettingsParser.parse(config.readText(), "$config")

    private fun prebindListener(text: String): PreboundListener {
        val address =
            Address.parse(text) ?: throw UsageError("--listen needs HOST:PORT, not \"$text\"")
        try {
            return PreboundListener.bind(InetSocketAddress(address.ip, address.port))
        } catch (e: IOException) {
            echo("cannot listen on $text: ${e.message}; check --listen", err = true)
            exitProcess(EXIT_CANNOT_LISTEN)
        }
    }

    private fun startOrExit(start: () -> Unit) {
        try {
            start()
        } catch (e: IOException) {
            // Threads of listeners that did start would keep the process alive.
            echo("cannot listen: ${e.message}; check [listen] in $config", err = true)
            exitProcess(EXIT_CANNOT_LISTEN)
        }
    }

    private fun <T> valueOrExit(result: Either<NonEmptyList<SettingsFault>, T>): T =
        result.fold(
            { faults ->
                faults.forEach { echo(it.message, err = true) }
                throw ProgramResult(EXIT_INVALID_SETTINGS)
            },
            { it },
        )

    private companion object {
        const val EXIT_INVALID_SETTINGS = 2
        const val EXIT_CANNOT_LISTEN = 3
    }
}
