package io.lavenderhinge.ctl

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.mordant.rendering.TextColors
import com.github.ajalt.mordant.rendering.TextStyle
import io.lavenderhinge.adapters.Json

/** How a line is meant; lines are coloured on a terminal only. */
enum class Severity(internal val style: TextStyle?) {
    INFO(null),
    SUCCESS(TextColors.green),
    ERROR(TextColors.red),
    WARNING(TextColors.yellow),
}

/** One statement for operators. */
data class Line(val text: String, val severity: Severity = Severity.INFO)

/** Result of a command: statements for people, the same facts as JSON, and the exit code. */
class Report(
    val lines: List<Line>,
    val json: Map<String, Any?>,
    val exitCode: ExitCode = ExitCode.DONE,
) {
    /** Prints the report in the form asked for and ends the command. */
    fun printAndExit(command: CliktCommand, output: Output) {
        when (output) {
            Output.TEXT ->
                lines.forEach { line ->
                    // The terminal drops the colours where standard output is no terminal.
                    command.echo(line.severity.style?.invoke(line.text) ?: line.text)
                }
            Output.JSON ->
                command.echo(Json.render(json + ("exitCode" to exitCode.code)).decodeToString())
        }
        if (exitCode != ExitCode.DONE) throw ProgramResult(exitCode.code)
    }

    companion object {
        /** A report that says only why the command could not be carried out. */
        fun failure(message: String, exitCode: ExitCode) =
            Report(listOf(Line(message, Severity.ERROR)), mapOf("error" to message), exitCode)
    }
}

/** Form of the output. */
enum class Output {
    TEXT,
    JSON,
}
