package io.lavenderhinge.standins

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.multiple
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.int
import io.lavenderhinge.http.CallTimeouts
import io.lavenderhinge.http.HttpCallException
import io.lavenderhinge.http.HttpClient
import io.lavenderhinge.http.HttpRequest
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.handler.codec.http.DefaultHttpHeaders
import java.net.InetSocketAddress
import java.net.URI
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking

/**
 * Sends one HTTP request and prints the response, so that the quick start needs no other HTTP
 * client.
 */
class CallCommand : CliktCommand(name = "call") {
    private val method by argument()
    private val url by argument()
    private val headerFields by option("--header", help = "header as name:value").multiple()
    private val body by option(help = "request body").default("")
    private val printsHead by
        option("--status", help = "also print the status and the headers").flag()
    private val maxAttempts by
        option(
                "--attempts",
                help = "maximum number of attempts, 500 ms apart, until a 2xx response",
            )
            .int()
            .default(1)

    override fun run() = runBlocking {
        val eventLoopGroup = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
        try {
            repeat(maxAttempts) { attempt ->
                val isLast = attempt == maxAttempts - 1
                if (call(HttpClient(eventLoopGroup), quiet = !isLast)) return@runBlocking
                if (!isLast) delay(RETRY_DELAY_MILLIS)
            }
        } finally {
            eventLoopGroup.shutdownGracefully(0, 0, java.util.concurrent.TimeUnit.SECONDS)
        }
        throw ProgramResult(1)
    }

    private suspend fun call(client: HttpClient, quiet: Boolean): Boolean {
        val uri = URI(url)
        val headers = DefaultHttpHeaders()
        headerFields.forEach { headers.add(it.substringBefore(':'), it.substringAfter(':').trim()) }
        val request =
            HttpRequest(method, uri.rawPath, uri.rawQuery.orEmpty(), headers, body.toByteArray())
        return try {
            val response =
                client.send(
                    InetSocketAddress(uri.host, uri.port),
                    request,
                    CallTimeouts(1_000, 60_000),
                )
            val succeeded = response.status in SUCCESS_STATUSES
            if (succeeded || !quiet) printResponse(response)
            succeeded
        } catch (e: HttpCallException) {
            if (!quiet) echo(e.message, err = true)
            false
        }
    }

    private suspend fun printResponse(response: io.lavenderhinge.http.ClientResponse) {
        if (printsHead) {
            echo("status ${response.status}")
            response.headers.forEach { echo("${it.key}: ${it.value}") }
            echo("")
        }
        while (true) {
            val chunk = response.readChunk() ?: break
            echo(String(chunk), trailingNewline = false)
        }
        echo("")
    }

    private companion object {
        const val RETRY_DELAY_MILLIS = 500L
        val SUCCESS_STATUSES = 200..299
    }
}
