package io.lavenderhinge.http

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import java.net.InetSocketAddress
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList

/** Guards against request smuggling: a request that contains another one for one of two parties. */
class StrictRequestDecoderTest :
    FunSpec({
        val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
        afterSpec { group.shutdownGracefully() }

        /** Sends [text] and returns the first response status and the paths that were served. */
        fun send(text: String): Pair<Int, List<String>> {
            val served = CopyOnWriteArrayList<String>()
            val handler = HttpHandler { exchange ->
                served += exchange.request.path
                exchange.respond(HttpResponse(200, ByteArray(0)))
            }
            val server = HttpServer(group, handler).start(InetSocketAddress("127.0.0.1", 0))
            return try {
                Socket("127.0.0.1", server.port).use { socket ->
                    socket.getOutputStream().write(text.replace("\n", "\r\n").toByteArray())
                    val status = socket.getInputStream().bufferedReader().readLine().split(' ')[1]
                    status.toInt() to served.toList()
                }
            } finally {
                server.close()
            }
        }

        val hidden = "GET /hidden HTTP/1.1\nHost: h\n\n"

        test(
            "given a length and chunks, then the request is rejected and nothing in it is served"
        ) {
            val head =
                "POST /a HTTP/1.1\nHost: h\nContent-Length: 5\nTransfer-Encoding: chunked\n\n"

            send("${head}0\n\n$hidden") shouldBe (400 to emptyList())
        }

        listOf("gzip, chunked", "identity", "xchunked").forEach { encoding ->
            test("given the transfer encoding '$encoding', then the request is rejected") {
                val head = "POST /a HTTP/1.1\nHost: h\nTransfer-Encoding: $encoding\n\n"

                send("${head}0\n\n$hidden") shouldBe (400 to emptyList())
            }
        }

        test("given two Host fields, then the request is rejected") {
            send("GET /a HTTP/1.1\nHost: h\nHost: other\n\n") shouldBe (400 to emptyList())
        }

        test("given two lengths, then the request is rejected") {
            val head = "POST /a HTTP/1.1\nHost: h\nContent-Length: 0\nContent-Length: 33\n\n"

            send(head + hidden) shouldBe (400 to emptyList())
        }

        test("given only chunked encoding, then the request is served") {
            val head = "POST /a HTTP/1.1\nHost: h\nTransfer-Encoding: chunked\n\n"

            send("${head}2\nok\n0\n\n") shouldBe (200 to listOf("/a"))
        }
    })
