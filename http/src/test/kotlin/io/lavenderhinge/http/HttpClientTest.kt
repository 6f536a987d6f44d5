package io.lavenderhinge.http

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.util.concurrent.Executors
import kotlin.concurrent.thread
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext

/**
 * Guards against truncated responses that look complete, and against a request reported as not sent
 * although it may have been executed.
 */
class HttpClientTest :
    FunSpec({
        val client = HttpClient(testGroup())
        val timeouts = CallTimeouts(connectMillis = 500, progressMillis = 500)

        test("given no listener, when called, then the request is reported as not sent") {
            val port = ServerSocket(0, 1, loopback).use { it.localPort }
            shouldThrow<HttpCallException.NotSent> {
                client.call(InetSocketAddress(loopback, port), get("/"), timeouts)
            }
        }

        // Guards against a fault that callers do not expect instead of one that states the outcome.
        test("given a connection that ends before it is used, then the request was not sent") {
            val listener = ServerSocket(0, 1, loopback)
            thread(isDaemon = true) { listener.use { it.accept().close() } }
            val address = InetSocketAddress(loopback, listener.localPort)

            Executors.newSingleThreadExecutor().asCoroutineDispatcher().use { oneThread ->
                withContext(oneThread) {
                    // Delays the call between its connection and its request.
                    launch { Thread.sleep(300) }
                    shouldThrow<HttpCallException.NotSent> {
                        client.call(address, get("/"), CallTimeouts(2_000, 2_000))
                    }
                }
            }
        }

        data class TruncatedResponse(val name: String, val response: String, val message: String)

        context("given a truncated response, when it is read, then the outcome is unknown") {
            withData(
                nameFn = { it.name },
                TruncatedResponse("closed without a response", "", "closed the connection"),
                TruncatedResponse(
                    "truncated head",
                    "HTTP/1.1 200 OK\r\nContent-",
                    "closed the connection",
                ),
                TruncatedResponse(
                    "shorter than its length",
                    "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc",
                    "closed the connection",
                ),
                TruncatedResponse(
                    "no last chunk",
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
                    "closed the connection",
                ),
                TruncatedResponse("not HTTP", "garbage\r\n\r\n", "the server"),
            ) { case ->
                val address = serveOnce(case.response)
                shouldThrow<HttpCallException.OutcomeUnknown> {
                        client.call(address, get("/"), timeouts)
                    }
                    .message shouldContain case.message
            }
        }

        test("given a response that ends with its connection, when it is read, then it is whole") {
            val address = serveOnce("HTTP/1.1 200 OK\r\n\r\nall of it")

            String(client.call(address, get("/"), timeouts).body) shouldBe "all of it"
        }

        test("given a server that stalls in the body, when it is read, then the call times out") {
            val release = CompletableDeferred<Unit>()
            val server = serve { exchange ->
                exchange.startStream(200, "text/plain").write("part".toByteArray())
                release.await()
            }
            shouldThrow<HttpCallException.OutcomeUnknown> {
                    client.call(server.address, get("/"), timeouts)
                }
                .message shouldContain "stopped sending for 500 ms"
            release.complete(Unit)
            server.close()
        }

        test("given concurrent calls, when answered, then each gets its own complete response") {
            val server = serve { exchange ->
                val writer = exchange.startStream(200, "text/plain")
                repeat(20) { writer.write("${exchange.request.path};".toByteArray()) }
                writer.end()
            }
            coroutineScope {
                (0 until 200)
                    .map { number ->
                        async {
                            val body = client.call(server.address, get("/$number")).body
                            String(body) shouldBe "/$number;".repeat(20)
                        }
                    }
                    .awaitAll()
            }
            server.close()
        }
    })
