package io.lavenderhinge.e2e.fleet

import java.io.File
import java.nio.file.Path
import java.util.concurrent.TimeUnit
import kotlin.io.path.readText

/** A JVM started by a test from the test's class path; its output goes to [logFile]. */
class TestProcess(
    val name: String,
    mainClass: String,
    arguments: List<String>,
    private val logFile: Path,
) {
    private val process: Process =
        ProcessBuilder(commandLine(mainClass, arguments))
            .redirectErrorStream(true)
            .redirectOutput(logFile.toFile())
            .start()

    val isAlive: Boolean
        get() = process.isAlive

    val log: String
        get() = logFile.readText()

    /** Ends the process without giving it a chance to clean up. */
    fun kill() {
        process.destroyForcibly().waitFor()
    }

    /** Asks the process to shut down gracefully. */
    fun terminate() = process.destroy()

    /** Freezes the process, as a paused machine does. */
    fun pause() = sendSignal("STOP")

    /** Lets a frozen process go on. */
    fun resume() = sendSignal("CONT")

    /** Tells the process that its settings have changed. */
    fun sendHangup() = sendSignal("HUP")

    /** Waits for the end of the process and returns its exit code, or null after [seconds]. */
    fun awaitExit(seconds: Long): Int? =
        if (process.waitFor(seconds, TimeUnit.SECONDS)) process.exitValue() else null

    private fun sendSignal(signal: String) {
        ProcessBuilder("kill", "-$signal", process.pid().toString()).start().waitFor()
    }

    private companion object {
        // The settings that a small instance runs with.
        val JVM_FLAGS = listOf("-Xmx96m", "-Xss512k", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1")

        fun commandLine(mainClass: String, arguments: List<String>): List<String> {
            val java = File(System.getProperty("java.home"), "bin/java").path
            val classPath = System.getProperty("java.class.path")
            return listOf(java) + JVM_FLAGS + listOf("-cp", classPath, mainClass) + arguments
        }
    }
}
