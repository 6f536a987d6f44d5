package io.lavenderhinge.e2e.repeating

import java.io.EOFException
import java.io.InputStream
import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.toImmutableMap

private const val HEAD_END = "\r\n\r\n"

/** Start line and fields of a message; the names of the fields are in lower case. */
internal class MessageHead(val startLine: String, val fields: ImmutableMap<String, String>)

/** Reads a message head, or returns null if the stream ends before its first byte. */
internal fun readHead(input: InputStream): MessageHead? {
    val text = StringBuilder()
    while (!text.endsWith(HEAD_END)) {
        val byte = input.read()
        if (byte < 0 && text.isEmpty()) return null
        if (byte < 0) throw EOFException("the head is incomplete")
        text.append(byte.toChar())
    }
    val lines = text.removeSuffix(HEAD_END).split("\r\n")
    val fields =
        lines.drop(1).associate { it.substringBefore(':').lowercase() to it.substringAfter(": ") }
    return MessageHead(lines.first(), fields.toImmutableMap())
}

/** Reads the body that [head] announces, or throws [EOFException] if it is incomplete. */
internal fun readBody(input: InputStream, head: MessageHead): String {
    if (head.fields["transfer-encoding"] == "chunked") return readChunks(input)
    return readExactly(input, head.fields["content-length"]?.toInt() ?: 0)
}

private fun readChunks(input: InputStream): String {
    val body = StringBuilder()
    while (true) {
        val sizeBytes = readLine(input).toInt(radix = 16)
        body.append(readExactly(input, sizeBytes))
        readLine(input)
        if (sizeBytes == 0) return body.toString()
    }
}

private fun readLine(input: InputStream): String {
    val line = StringBuilder()
    while (!line.endsWith("\r\n")) line.append(readExactly(input, 1))
    return line.removeSuffix("\r\n").toString()
}

private fun readExactly(input: InputStream, sizeBytes: Int): String {
    val bytes = input.readNBytes(sizeBytes)
    if (bytes.size < sizeBytes) throw EOFException("the body is incomplete")
    return String(bytes, Charsets.ISO_8859_1)
}
