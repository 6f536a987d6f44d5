package io.lavenderhinge.ctl

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.mordant.rendering.TextColors
import com.github.ajalt.mordant.rendering.TextStyle
import io.lavenderhinge.adapters.Json

/** How a line is meant; lines are coloured on a terminal only. */
enum class Mood(internal val style: TextStyle?) {
    PLAIN(null),
    GOOD(TextColors.green),
    BAD(TextColors.red),
    CAUTION(TextColors.yellow),
}

/** One statement for operators. */
data class Line(val text: String, val mood: Mood = Mood.PLAIN)

/** Result of a command: statements for people, the same facts as JSON, and the exit code. */
class Report(
    val lines: List<Line>,
    val json: Map<String, Any?>,
    val exit: ExitCode = ExitCode.DONE,
) {
    /** Prints the report in the form asked for and ends the command. */
    fun finish(command: CliktCommand, output: Output) {
        when (output) {
            Output.TEXT ->
                lines.forEach { line ->
                    // The terminal drops the colours where standard output is no terminal.
                    command.echo(line.mood.style?.invoke(line.text) ?: line.text)
                }
            Output.JSON ->
                command.echo(Json.render(json + ("exitCode" to exit.code)).decodeToString())
        }
        if (exit != ExitCode.DONE) throw ProgramResult(exit.code)
    }

    companion object {
        /** A report that says only why the command could not be carried out. */
        fun fault(message: String, exit: ExitCode) =
            Report(listOf(Line(message, Mood.BAD)), mapOf("error" to message), exit)
    }
}

/** Form of the output. */
enum class Output {
    TEXT,
    JSON,
}
