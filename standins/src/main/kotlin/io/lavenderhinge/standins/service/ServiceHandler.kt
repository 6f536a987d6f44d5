package io.lavenderhinge.standins.service

import io.lavenderhinge.http.HttpExchange
import io.lavenderhinge.http.HttpHandler
import io.lavenderhinge.http.HttpStatus
import io.lavenderhinge.standins.RunLog
import io.lavenderhinge.standins.respondJson
import java.util.concurrent.atomic.AtomicInteger
import kotlinx.coroutines.delay

/**
 * A fake plain service. Every POST increments a counter, also when it is repeated; a GET reads it.
 *
 * `GET /admin/record` returns all runs; `POST /admin/draining?on=true` makes it refuse new
 * requests.
 */
class ServiceHandler(private val workMillis: Long = 5) : HttpHandler {
    private val runLog = RunLog()
    private val postCount = AtomicInteger()
    private val running = AtomicInteger()
    @Volatile private var draining = false

    override suspend fun handle(exchange: HttpExchange) {
        val request = exchange.request
        when {
            request.path == "/admin/record" -> exchange.respondJson(runLog.all())
            request.path == "/admin/draining" -> {
                draining = request.query == "on=true"
                exchange.respondJson(mapOf("draining" to draining))
            }
            request.path == "/v1/load" -> reportLoad(exchange)
            draining -> exchange.respondJson(mapOf("draining" to true), HttpStatus.UNAVAILABLE)
            else -> serve(exchange)
        }
    }

    private suspend fun reportLoad(exchange: HttpExchange) =
        exchange.respondJson(
            mapOf(
                "running" to running.get(),
                "waiting" to 0,
                "contextTokens" to 0,
                "version" to "",
                "ageMillis" to 0,
            )
        )

    private suspend fun serve(exchange: HttpExchange) {
        val request = exchange.request
        val requestId = request.header("X-Request-Id").orEmpty()
        running.incrementAndGet()
        try {
            runLog.recordStart(requestId, request.header("Idempotency-Key"), request.path)
            delay(workMillis)
            val number =
                if (request.method == "GET") postCount.get() else postCount.incrementAndGet()
            runLog.recordFinish(requestId)
            exchange.respondJson(
                mapOf("number" to number, "path" to request.path, "echo" to String(request.body))
            )
        } finally {
            running.decrementAndGet()
        }
    }
}
