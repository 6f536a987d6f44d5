package io.lavenderhinge.experiments.engine

import io.lavenderhinge.core.port.CacheEvent
import io.lavenderhinge.core.port.EngineFault
import io.lavenderhinge.core.port.LoadReport
import io.lavenderhinge.experiments.time.EventLoop
import io.lavenderhinge.experiments.time.ScheduledAction

/** Simulated plain service: runs up to [maxConcurrency] calls and queues the rest in order. */
class FakeService(
    override val id: String,
    private val maxConcurrency: Int,
    private val loop: EventLoop,
    private val listener: BackendListener,
    private val version: String = "1",
) : Backend {
    private class Call(val job: BackendJob, var completion: ScheduledAction? = null)

    private val waiting = LinkedHashMap<String, Call>()
    private val running = LinkedHashMap<String, Call>()
    private var isDraining = false

    override var slowdownFactor = 1.0
    override var isUp = true
        private set

    override fun submit(job: BackendJob): EngineFault.Refused? {
        if (isDraining) {
            return EngineFault.Refused(503, "service is draining; use another replica", true)
        }
        waiting[job.request.id] = Call(job)
        startNext()
        return null
    }

    override fun cancel(requestId: String) {
        waiting.remove(requestId)
        running.remove(requestId)?.completion?.cancel()
        startNext()
    }

    override fun suspend(requestId: String): Boolean = false

    override fun resume(requestId: String): Boolean = false

    override fun crash() {
        val lost = waiting.values + running.values
        isUp = false
        running.values.forEach { it.completion?.cancel() }
        waiting.clear()
        running.clear()
        lost.forEach { listener.onFailed(it.job, id, "service closed the connection") }
    }

    override fun restart() {
        isUp = true
        isDraining = false
    }

    override fun startDraining() {
        isDraining = true
    }

    override fun load(): LoadReport =
        LoadReport(running.size, waiting.size, contextTokens = 0, version, ageMillis = 0)

    override fun takeCacheEvents(): List<CacheEvent> = emptyList()

    override fun cachedTokens(prefixHashes: List<Long>): Int = 0

    private fun startNext() {
        while (waiting.isNotEmpty() && running.size < maxConcurrency) {
            val call = waiting.remove(waiting.keys.first()) ?: return
            running[call.job.request.id] = call
            val micros = (call.job.serviceMicros * slowdownFactor).toLong()
            call.completion = loop.after(micros) { finish(call) }
        }
    }

    private fun finish(call: Call) {
        running.remove(call.job.request.id)
        listener.onCompleted(call.job, id, outputTokens = 0, betweenTokensMillis = 0.0)
        startNext()
    }
}
