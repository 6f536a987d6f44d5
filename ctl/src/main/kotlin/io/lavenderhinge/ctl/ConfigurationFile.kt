package io.lavenderhinge.ctl

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import java.io.IOException
import java.nio.ByteBuffer
import java.nio.charset.CharacterCodingException
import java.nio.file.InvalidPathException
import java.nio.file.NoSuchFileException
import java.nio.file.Path
import kotlin.io.path.isDirectory
import kotlin.io.path.readBytes

/** A file with a configuration at [path], or standard input for [STANDARD_INPUT]. */
internal class ConfigurationFile(private val environment: Environment, private val path: String) {
    /** Returns the text, or why it cannot be read. */
    fun read(): Either<String, String> =
        try {
            Charsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(bytes())).toString().right()
        } catch (_: CharacterCodingException) {
            fault("is not UTF-8 text; save it as UTF-8")
        } catch (_: NoSuchFileException) {
            fault("does not exist; correct the path")
        } catch (_: InvalidPathException) {
            fault("is not a path; correct it")
        } catch (_: IOException) {
            fault("cannot be read; check that it is a file and its permissions")
        }

    private fun bytes(): ByteArray {
        if (path == STANDARD_INPUT) return environment.standardInput().readBytes()
        val file = Path.of(path)
        if (file.isDirectory()) throw IOException("$path is a directory")
        return file.readBytes()
    }

    private fun fault(reason: String) = "${nameOf(path)}: $reason".left()

    companion object {
        const val STANDARD_INPUT = "-"

        /** Returns the name of the file at [path] in messages. */
        fun nameOf(path: String): String = if (path == STANDARD_INPUT) "standard input" else path
    }
}
