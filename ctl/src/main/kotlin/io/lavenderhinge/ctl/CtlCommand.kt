package io.lavenderhinge.ctl

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.options.convert
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.enum
import io.lavenderhinge.core.settings.Address
import kotlinx.coroutines.runBlocking

/** Base class of all subcommands; adds the option `--output`. */
abstract class CtlCommand(name: String, private val help: String) : CliktCommand(name) {
    private val output by
        option("--output", help = "output format")
            .enum<Output> { it.name.lowercase() }
            .default(Output.TEXT)

    override fun help(context: Context): String = help

    override fun run() = runBlocking { execute() }.printAndExit(this, format())

    /** The output format that the options name. */
    protected open fun format(): Output = output

    /** Runs the command and returns its report. */
    protected abstract suspend fun execute(): Report
}

/** Base class of the subcommands that use the key-value service. */
abstract class StoreCommand(name: String, help: String, protected val environment: Environment) :
    CtlCommand(name, help) {
    private val keyValue by
        option(
                "--key-value",
                envvar = "LAVENDERHINGE_KEY_VALUE",
                help = "URL of the platform's key-value service, http://ip:port",
            )
            .convert { Address.parse(it) ?: fail("$it is not http://ip:port") }
            .required()

    /** Client of the key-value service given by `--key-value`. */
    protected val store by lazy { environment.store(keyValue) }
}
