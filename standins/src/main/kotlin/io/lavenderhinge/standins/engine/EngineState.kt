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
 * Speed of a fake engine; [stepDoublingBatchSize] is the batch size from which a step takes twice
 * as long.
 */
data class EngineSpeed(
    val prefillTokensPerSecond: Double = 20_000.0,
    val stepMillis: Long = 10,
    val stepDoublingBatchSize: Int = 32,
)

/** How a version misbehaves. */
data class VersionFault(val errorFraction: Double = 0.0, val slowFactor: Double = 1.0)

/** Faults of one engine beyond those of its connections. */
data class EngineFaults(
    val slowFactor: Double = 1.0,
    val draining: Boolean = false,
    val dropAfterTokens: Int? = null,
    val stallAfterTokens: Int? = null,
    val versions: Map<String, VersionFault> = emptyMap(),
)

/** A generation; it goes on without a reader for a while, so that a stream can be resumed. */
internal class Generation(val requestId: String, val marker: String, val tokenCount: Int) {
    val producedTokens = MutableStateFlow(0)
    @Volatile var cancelled = false
    var job: Job? = null
}

/** State of the fake engine; thread safe. */
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

    /** Applies an order; returns the current fencing number when [orderNumber] is an old one. */
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
