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
 * Compares the rate and latency of calls through an instance with those of direct calls. The two
 * alternate within one run, so that changes in the load of the machine affect both.
 */
class LoadCommand : CliktCommand(name = "load") {
    private val directUrl by argument("direct", help = "URL of the stand-in, called directly")
    private val instanceUrl by argument("through", help = "URL of the same path at an instance")
    private val credential by option(help = "bearer token for the instance").default("counter-key")
    private val concurrency by option(help = "number of concurrent callers").int().default(16)
    private val turnSeconds by
        option("--seconds", help = "duration of a turn, seconds").int().default(5)
    private val turns by option(help = "number of measured turns per URL").int().default(3)

    override fun help(context: Context) =
        "Compares the rate and latency of calls through an instance with direct calls."

    override fun run() = runBlocking {
        val eventLoopGroup = MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory())
        val client = HttpClient(eventLoopGroup)
        // The first turn for each URL is a warm-up and is not counted.
        measureTurn(client, directUrl)
        measureTurn(client, instanceUrl)
        val directNanos = mutableListOf<Long>()
        val instanceNanos = mutableListOf<Long>()
        repeat(turns) {
            directNanos += measureTurn(client, directUrl)
            instanceNanos += measureTurn(client, instanceUrl)
        }
        printSummary("direct", directNanos)
        printSummary("through an instance", instanceNanos)
        val ratio = instanceNanos.size.toDouble() / directNanos.size
        echo("ratio of calls per second, through / direct: %.3f".format(ratio))
        listOf(50, 99).forEach { percentile ->
            val added =
                percentileMillis(instanceNanos, percentile) -
                    percentileMillis(directNanos, percentile)
            echo("added latency, ${percentile}th percentile: %.2f ms".format(added))
        }
        eventLoopGroup.shutdownGracefully(0, 0, TimeUnit.SECONDS)
        Unit
    }

    private suspend fun measureTurn(client: HttpClient, url: String): List<Long> {
        val uri = URI(url)
        val address = InetSocketAddress(uri.host, uri.port)
        val headers = DefaultHttpHeaders().add("Authorization", "Bearer $credential")
        val request = HttpRequest("GET", uri.rawPath, uri.rawQuery.orEmpty(), headers, ByteArray(0))
        val endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(turnSeconds.toLong())
        val latencies = ConcurrentLinkedQueue<Long>()
        coroutineScope {
            repeat(concurrency) {
                launch {
                    while (System.nanoTime() < endNanos) {
                        latencies.add(timeCall(client, address, request) ?: continue)
                    }
                }
            }
        }
        return latencies.toList()
    }

    private suspend fun timeCall(
        client: HttpClient,
        address: InetSocketAddress,
        request: HttpRequest,
    ): Long? {
        val startedNanos = System.nanoTime()
        return try {
            val status = client.call(address, request).status
            if (status == STATUS_OK) System.nanoTime() - startedNanos else null
        } catch (_: HttpCallException) {
            null
        }
    }

    private fun printSummary(name: String, nanos: List<Long>) {
        val rate = nanos.size.toDouble() / (turnSeconds * turns)
        echo(
            "%s: %.0f calls per second, 50th %.2f ms, 99th %.2f ms"
                .format(name, rate, percentileMillis(nanos, 50), percentileMillis(nanos, 99))
        )
    }

    private fun percentileMillis(nanos: List<Long>, percentile: Int): Double {
        val sorted = nanos.sorted()
        val index = (sorted.size * percentile / 100).coerceAtMost(sorted.lastIndex)
        return sorted.getOrElse(index) { 0L } / NANOS_PER_MILLI
    }

    private companion object {
        const val STATUS_OK = 200
        const val NANOS_PER_MILLI = 1_000_000.0
    }
}
