package io.lavenderhinge.http

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import java.net.InetSocketAddress
import java.net.Socket

/** Guards against clients being refused during process startup. */
class PreboundListenerTest :
    FunSpec({
        test("given a connection opened before the server starts, then it is answered") {
            val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
            val prebound = PreboundListener.bind(InetSocketAddress("127.0.0.1", 0))
            Socket("127.0.0.1", prebound.address.port).use { client ->
                client.getOutputStream().write("GET / HTTP/1.1\r\nHost: h\r\n\r\n".toByteArray())

                val server =
                    HttpServer(group, HttpHandler { it.respond(HttpResponse(200, ByteArray(0))) })
                server.start(prebound)

                server.port shouldBe prebound.address.port
                client.getInputStream().bufferedReader().readLine() shouldBe "HTTP/1.1 200 OK"
                server.close()
            }
            group.shutdownGracefully().sync()
        }
    })
