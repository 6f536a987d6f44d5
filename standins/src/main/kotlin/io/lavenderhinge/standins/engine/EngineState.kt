package io.lavenderhinge.standins.engine

import io.lavenderhinge.standins.RunLog
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.launch

/**
 * Speed of a fake engine. The duration of a decoding step grows linearly with the batch size and is
 * twice [stepMillis] at [stepDoublingBatchSize].
 */
data class EngineSpeed(
    val prefillTokensPerSecond: Double = 20_000.0,
    val stepMillis: Long = 10,
    val stepDoublingBatchSize: Int = 32,
)

/**
 * Faults of one model version: [errorFraction] of its requests fail; all take [slowFactor] times as
 * long.
 */
data class VersionFault(val errorFraction: Double = 0.0, val slowFactor: Double = 1.0)

/**
 * Faults of an engine, in addition to the connection faults of [io.lavenderhinge.standins.Faults].
 * - [slowFactor]: prefill and decoding take this many times as long.
 * - [draining]: new requests are refused with 503.
 * - [dropAfterTokens]: a stream is cut after this many tokens; the generation continues.
 * - [stallAfterTokens]: a stream sends nothing more after this many tokens.
 * - [versions]: faults by model version.
 * - [crashOnMessage]: the process ends at a prompt with this message.
 */
data class EngineFaults(
    val slowFactor: Double = 1.0,
    val draining: Boolean = false,
    val dropAfterTokens: Int? = null,
    val stallAfterTokens: Int? = null,
    val versions: Map<String, VersionFault> = emptyMap(),
    val crashOnMessage: String? = null,
)

/**
 * A generation. It continues without a reader and is kept for a while after its end, so that its
 * stream can be resumed.
 */
internal class Generation(val requestId: String, val marker: String, val tokenCount: Int) {
    val producedTokens = MutableStateFlow(0)
    @Volatile var cancelled = false
    var job: Job? = null
}

/** Thread-safe state of the fake engine. */
internal class EngineState(private val speed: EngineSpeed, initialVersion: String) {
    val runLog = RunLog()
    val running = AtomicInteger()
    val contextTokens = AtomicLong()
    val versions: MutableSet<String> = ConcurrentHashMap.newKeySet()
    val generations = ConcurrentHashMap<String, Generation>()
    @Volatile var faults = EngineFaults()
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private var fencingNumber = 0L

    init {
        versions.add(initialVersion)
    }

    fun start(generation: Generation, version: String, promptTokens: Int) {
        generations[generation.requestId] = generation
        runLog.recordStart(generation.requestId, null, version)
        generation.job = scope.launch { generate(generation, version, promptTokens) }
    }

    fun cancel(requestId: String) {
        val generation = generations.remove(requestId) ?: return
        generation.cancelled = true
        generation.job?.cancel()
    }

    /** Applies an order, or returns the current fencing number if [orderNumber] is outdated. */
    @Synchronized
    fun applyOrder(
        action: String,
        version: String,
        orderNumber: Long,
        checksOrders: Boolean,
    ): Long? {
        if (checksOrders && orderNumber < fencingNumber) return fencingNumber
        fencingNumber = maxOf(fencingNumber, orderNumber)
        if (action == "LOAD") versions.add(version) else versions.remove(version)
        return null
    }

    private suspend fun generate(generation: Generation, version: String, promptTokens: Int) {
        val slowdown = faults.slowFactor * (faults.versions[version]?.slowFactor ?: 1.0)
        val contextSize = promptTokens + generation.tokenCount.toLong()
        running.incrementAndGet()
        contextTokens.addAndGet(contextSize)
        try {
            delay(
                (promptTokens / speed.prefillTokensPerSecond * MILLIS_PER_SECOND * slowdown)
                    .toLong()
            )
            repeat(generation.tokenCount) {
                val batchFactor = 1.0 + running.get().toDouble() / speed.stepDoublingBatchSize
                delay((speed.stepMillis * batchFactor * slowdown).toLong())
                generation.producedTokens.value = it + 1
            }
            runLog.recordFinish(generation.requestId)
        } finally {
            running.decrementAndGet()
            contextTokens.addAndGet(-contextSize)
        }
        delay(RESUME_WINDOW_MILLIS)
        generations.remove(generation.requestId)
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0
        const val RESUME_WINDOW_MILLIS = 10_000L
    }
}
