package io.lavenderhinge.standins

import io.lavenderhinge.http.HttpBodyWriter
import io.lavenderhinge.http.HttpExchange
import io.lavenderhinge.http.HttpField
import io.lavenderhinge.http.HttpHandler
import io.lavenderhinge.http.HttpResponse
import io.lavenderhinge.http.HttpStatus
import java.util.concurrent.atomic.AtomicInteger
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay

/**
 * Active faults of a stand-in.
 * - [outage]: every call is refused with 503 and has no effect.
 * - [delayMillis]: every call is delayed before it takes effect.
 * - [loseAnswers]: this many of the next calls take effect but get no response.
 * - [silent]: calls take effect, but the connection stays open without a response.
 */
data class Faults(
    val outage: Boolean = false,
    val delayMillis: Long = 0,
    val loseAnswers: Int = 0,
    val silent: Boolean = false,
)

/** Applies [Faults] to all paths except `/admin/...`; `POST /admin/faults` replaces them. */
internal class FaultInjector(private val delegate: HttpHandler) : HttpHandler {
    @Volatile private var faults = Faults()
    private val responsesToDrop = AtomicInteger()

    override suspend fun handle(exchange: HttpExchange) {
        if (exchange.request.path == "/admin/faults") return configure(exchange)
        if (exchange.request.path.startsWith("/admin/")) return delegate.handle(exchange)
        val current = faults
        if (current.delayMillis > 0) delay(current.delayMillis)
        if (current.outage)
            return exchange.respondJson(mapOf("error" to "outage"), HttpStatus.UNAVAILABLE)
        if (current.silent) {
            delegate.handle(ResponseDroppingExchange(exchange))
            awaitCancellation()
        }
        if (responsesToDrop.getAndUpdate { (it - 1).coerceAtLeast(0) } > 0) {
            return delegate.handle(ResponseDroppingExchange(exchange))
        }
        delegate.handle(exchange)
    }

    private suspend fun configure(exchange: HttpExchange) {
        if (exchange.request.method == "POST") {
            faults = jsonMapper.treeToValue(exchange.jsonBody(), Faults::class.java)
            responsesToDrop.set(faults.loseAnswers)
        }
        exchange.respondJson(faults)
    }
}

/** Discards the response of a call that takes effect. */
private class ResponseDroppingExchange(private val delegate: HttpExchange) : HttpExchange {
    override val request
        get() = delegate.request

    override suspend fun respond(response: HttpResponse) = Unit

    override suspend fun startStream(
        status: Int,
        contentType: String,
        headers: List<HttpField>,
    ): HttpBodyWriter =
        object : HttpBodyWriter {
            override suspend fun write(bytes: ByteArray) = Unit

            override suspend fun end() = Unit
        }
}
