package io.lavenderhinge.ctl

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.mordant.rendering.TextColors
import com.github.ajalt.mordant.rendering.TextStyle
import io.lavenderhinge.adapters.Json

/** Severity of a line; it sets the colour, on a terminal only. */
enum class Severity(internal val style: TextStyle?) {
    INFO(null),
    SUCCESS(TextColors.green),
    ERROR(TextColors.red),
    WARNING(TextColors.yellow),
}

/** One line of the text output. */
data class Line(val text: String, val severity: Severity = Severity.INFO)

/** Result of a command: its text output, the same content as JSON, and the exit code. */
class Report(
    val lines: List<Line>,
    val json: Map<String, Any?>,
    val exitCode: ExitCode = ExitCode.DONE,
) {
    /** Prints the report in the format [output] and exits with [exitCode]. */
    fun printAndExit(command: CliktCommand, output: Output) {
        when (output) {
            Output.TEXT ->
                lines.forEach { line ->
                    // Clikt strips the colours if standard output is not a terminal.
                    command.echo(line.severity.style?.invoke(line.text) ?: line.text)
                }
            Output.JSON ->
                command.echo(Json.render(json + ("exitCode" to exitCode.code)).decodeToString())
        }
        if (exitCode != ExitCode.DONE) throw ProgramResult(exitCode.code)
    }

    companion object {
        /** Report of a command that failed with [message]. */
        fun failure(message: String, exitCode: ExitCode) =
            Report(listOf(Line(message, Severity.ERROR)), mapOf("error" to message), exitCode)
    }
}

/** Output format of a command. */
enum class Output {
    TEXT,
    JSON,
}
