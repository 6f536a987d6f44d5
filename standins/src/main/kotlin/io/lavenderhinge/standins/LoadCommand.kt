package io.lavenderhinge.standins

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.int
import io.lavenderhinge.http.HttpCallException
import io.lavenderhinge.http.HttpClient
import io.lavenderhinge.http.HttpRequest
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.handler.codec.http.DefaultHttpHeaders
import java.net.InetSocketAddress
import java.net.URI
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.TimeUnit
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking

/**
 * Measures calls through an instance against calls of the stand-in itself, in turns within one run,
 * so that a change of the machine's load meets both.
 */
class LoadCommand : CliktCommand(name = "load") {
    private val direct by argument(help = "URL of the stand-in")
    private val through by argument(help = "URL of the same path at an instance")
    private val credential by option(help = "bearer token for the instance").default("counter-key")
    private val concurrency by option(help = "callers at once").int().default(16)
    private val seconds by option(help = "seconds of each turn").int().default(5)
    private val turns by option(help = "turns of each").int().default(3)

    override fun help(context: Context) = "Compares calls through an instance with direct calls."

    override fun run() = runBlocking {
        val group = MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory())
        val client = HttpClient(group)
        // The first turn of each warms up and is not counted.
        turn(client, direct)
        turn(client, through)
        val directNanos = mutableListOf<Long>()
        val throughNanos = mutableListOf<Long>()
        repeat(turns) {
            directNanos += turn(client, direct)
            throughNanos += turn(client, through)
        }
        report("direct", directNanos)
        report("through an instance", throughNanos)
        val ratio = throughNanos.size.toDouble() / directNanos.size
        echo("ratio of calls a second, through / direct: %.3f".format(ratio))
        listOf(50, 99).forEach { percentile ->
            val added = quantile(throughNanos, percentile) - quantile(directNanos, percentile)
            echo("added latency, ${percentile}th percentile: %.2f ms".format(added))
        }
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS)
        Unit
    }

    private suspend fun turn(client: HttpClient, url: String): List<Long> {
        val uri = URI(url)
        val address = InetSocketAddress(uri.host, uri.port)
        val headers = DefaultHttpHeaders().add("Authorization", "Bearer $credential")
        val request = HttpRequest("GET", uri.rawPath, uri.rawQuery.orEmpty(), headers, ByteArray(0))
        val untilNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds.toLong())
        val latencies = ConcurrentLinkedQueue<Long>()
        coroutineScope {
            repeat(concurrency) {
                launch {
                    while (System.nanoTime() < untilNanos) {
                        latencies.add(timed(client, address, request) ?: continue)
                    }
                }
            }
        }
        return latencies.toList()
    }

    private suspend fun timed(
        client: HttpClient,
        address: InetSocketAddress,
        request: HttpRequest,
    ): Long? {
        val startedNanos = System.nanoTime()
        return try {
            val status = client.call(address, request).status
            if (status == OK) System.nanoTime() - startedNanos else null
        } catch (_: HttpCallException) {
            null
        }
    }

    private fun report(name: String, nanos: List<Long>) {
        val rate = nanos.size.toDouble() / (seconds * turns)
        echo(
            "%s: %.0f calls a second, 50th %.2f ms, 99th %.2f ms"
                .format(name, rate, quantile(nanos, 50), quantile(nanos, 99))
        )
    }

    private fun quantile(nanos: List<Long>, percentile: Int): Double {
        val sorted = nanos.sorted()
        val index = (sorted.size * percentile / 100).coerceAtMost(sorted.lastIndex)
        return sorted.getOrElse(index) { 0L } / NANOS_PER_MILLI
    }

    private companion object {
        const val OK = 200
        const val NANOS_PER_MILLI = 1_000_000.0
    }
}
