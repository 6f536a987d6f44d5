package io.lavenderhinge.standins

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import io.lavenderhinge.http.HttpHandler
import io.lavenderhinge.http.HttpServer
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import java.net.InetSocketAddress

/**
 * Starts [handler] behind a [FaultInjector] on [listen] (`ip:port`; port 0 selects a free port).
 * Responses repeat the id of their request.
 */
fun startStandin(listen: String, handler: HttpHandler, threads: Int = 2): HttpServer {
    val group = MultiThreadIoEventLoopGroup(threads, NioIoHandler.newFactory())
    val address =
        InetSocketAddress(listen.substringBeforeLast(':'), listen.substringAfterLast(':').toInt())
    return HttpServer(group, RequestIdRepeater(FaultInjector(handler))).start(address)
}

/** A command that runs a server until the process is terminated. */
abstract class ServingCommand(name: String) : CliktCommand(name = name) {
    private val listen by option(help = "address to listen on, ip:port").default("127.0.0.1:0")

    /** Creates the handler of the server. */
    abstract fun handler(): HttpHandler

    override fun run() {
        val server = startStandin(listen, handler())
        echo("listening on port ${server.port}")
        Thread.currentThread().join()
    }
}
