package io.lavenderhinge.http

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldStartWith
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeout

/**
 * Guards against malformed, oversized or slow requests that get a wrong error or affect others, and
 * against responses that are reordered, lost in a drain or truncated unnoticed.
 */
class HttpServerTest :
    FunSpec({
        val limits =
            HttpLimits(
                maxRequestLineBytes = 200,
                maxHeadBytes = 500,
                maxBodyBytes = 100,
                headTimeoutMillis = 300,
                bodyTimeoutMillis = 300,
                idleTimeoutMillis = 300,
            )
        val server =
            serve(limits) { exchange ->
                if (exchange.request.path == "/fail") error("the handler fails")
                if (exchange.request.path == "/slow") delay(50)
                exchange.respond(HttpResponse(200, exchange.request.path.toByteArray()))
            }
        afterSpec { server.close() }

        data class BadInput(val name: String, val bytes: String, val status: Int, val code: String)

        context(
            "given invalid input, when it is sent, then the response carries the expected error"
        ) {
            withData(
                nameFn = { it.name },
                BadInput("no HTTP", "nonsense\r\n\r\n", 400, "malformed-request"),
                BadInput(
                    "bad content length",
                    "POST / HTTP/1.1\r\nContent-Length: x\r\n\r\n",
                    400,
                    "malformed-request",
                ),
                BadInput(
                    "long line",
                    "GET /${"a".repeat(300)} HTTP/1.1\r\n\r\n",
                    414,
                    "request-line-too-long",
                ),
                BadInput(
                    "long head",
                    "GET / HTTP/1.1\r\nA: ${"a".repeat(600)}\r\n\r\n",
                    431,
                    "head-too-large",
                ),
                BadInput(
                    "large body",
                    "POST / HTTP/1.1\r\nContent-Length: 101\r\n\r\n",
                    413,
                    "body-too-large",
                ),
                BadInput(
                    "large chunked body",
                    "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n65\r\n" +
                        "a".repeat(101) +
                        "\r\n0\r\n\r\n",
                    413,
                    "body-too-large",
                ),
                BadInput("slow head", "GET / HTTP/1.1\r\nA:", 408, "head-timeout"),
                BadInput(
                    "slow body",
                    "POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nab",
                    408,
                    "body-timeout",
                ),
                BadInput("failing handler", "GET /fail HTTP/1.1\r\n\r\n", 500, "internal-error"),
            ) { case ->
                val response = sendRaw(server.address, case.bytes)
                response shouldStartWith "HTTP/1.1 ${case.status}"
                response shouldContain "\"code\":\"${case.code}\""
            }
        }

        test(
            "given invalid input on one connection, when a valid request follows, then it is served"
        ) {
            sendRaw(server.address, "nonsense\r\n\r\n")
            val response = sendRaw(server.address, "GET /a HTTP/1.1\r\nConnection: close\r\n\r\n")
            response shouldStartWith "HTTP/1.1 200"
        }

        test("given pipelined requests, when the first is slow, then responses keep their order") {
            val bytes =
                "GET /slow HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\n\r\n" +
                    "GET /c HTTP/1.1\r\nConnection: close\r\n\r\n"
            val bodies = Regex("\r\n\r\n(/slow|/b|/c)").findAll(sendRaw(server.address, bytes))
            bodies.map { it.groupValues[1] }.toList() shouldBe listOf("/slow", "/b", "/c")
        }

        test("given the connection limit is reached, when one more connects, then it is rejected") {
            val started = CompletableDeferred<Unit>()
            val small =
                serve(HttpLimits(maxConnections = 1)) {
                    started.complete(Unit)
                    awaitForever()
                }
            java.net.Socket(loopback, small.port).use { first ->
                first.getOutputStream().write("GET / HTTP/1.1\r\n\r\n".toByteArray())
                started.await()
                sendRaw(small.address, "") shouldContain "too-many-connections"
            }
            small.close()
        }

        test("given a client disconnects, when its handler waits, then the handler is cancelled") {
            val started = CompletableDeferred<Unit>()
            val cancelled = CompletableDeferred<Unit>()
            val waiting = serve {
                started.complete(Unit)
                try {
                    awaitForever()
                } finally {
                    cancelled.complete(Unit)
                }
            }
            java.net.Socket(loopback, waiting.port).use {
                it.getOutputStream().write("GET / HTTP/1.1\r\n\r\n".toByteArray())
                started.await()
            }
            cancelled.await()
            waiting.close()
        }

        test("given a drain, when requests are in progress, then all are answered and closed") {
            val started = CompletableDeferred<Unit>()
            val release = CompletableDeferred<Unit>()
            val draining = serve { exchange ->
                started.complete(Unit)
                release.await()
                exchange.respond(HttpResponse(200, exchange.request.path.toByteArray()))
            }
            java.net.Socket(loopback, draining.port).use { socket ->
                val bytes = "GET /a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\n\r\n"
                socket.getOutputStream().write(bytes.toByteArray())
                started.await()
                draining.drain()
                release.complete(Unit)
                val responses = String(socket.getInputStream().readBytes())
                responses shouldContain "/a"
                responses shouldContain "/b"
            }
            draining.close()
        }

        // Guards against a planned stop that cuts off a client whose request is in transit.
        test("given a drain, when a new connection sends its request, then it is answered") {
            val draining = serve { it.respond(HttpResponse(200, "done".toByteArray())) }
            java.net.Socket(loopback, draining.port).use { socket ->
                awaitConnections(draining, count = 1)
                draining.drain()
                socket.getOutputStream().write("GET /a HTTP/1.1\r\n\r\n".toByteArray())
                String(socket.getInputStream().readBytes()) shouldContain "done"
            }
            awaitConnections(draining, count = 0)
            draining.close()
        }

        // Guards against a process that ends while a request is still being received.
        test("given a drain, when a request is incomplete, then its connection stays open") {
            val draining = serve { it.respond(HttpResponse(200, "done".toByteArray())) }
            java.net.Socket(loopback, draining.port).use { socket ->
                val head = "POST /a HTTP/1.1\r\nContent-Length: 4\r\n\r\nab"
                socket.getOutputStream().write(head.toByteArray())
                awaitConnections(draining, count = 1)
                draining.drain()
                draining.connectionCount shouldBe 1
                socket.getOutputStream().write("cd".toByteArray())
                String(socket.getInputStream().readBytes()) shouldContain "done"
            }
            draining.close()
        }

        test("given a drain, when a new connection stays silent, then it is closed") {
            val draining = serve { it.respond(HttpResponse(200, "done".toByteArray())) }
            java.net.Socket(loopback, draining.port).use { socket ->
                awaitConnections(draining, count = 1)
                draining.drain()
                String(socket.getInputStream().readBytes()) shouldBe ""
            }
            draining.close()
        }

        test("given a stream that its handler does not end, then the client gets no last chunk") {
            val cut = serve { exchange ->
                exchange.startStream(200, "text/plain").write("part".toByteArray())
            }
            val response = sendRaw(cut.address, "GET / HTTP/1.1\r\n\r\n")
            response shouldContain "part"
            response.contains("\r\n0\r\n") shouldBe false
            cut.close()
        }
    })

private suspend fun awaitConnections(server: HttpServer, count: Int) =
    withTimeout(2_000) { while (server.connectionCount != count) delay(5) }

private suspend fun awaitForever(): Nothing = kotlinx.coroutines.awaitCancellation()
