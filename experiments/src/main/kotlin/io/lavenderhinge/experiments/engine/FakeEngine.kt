package io.lavenderhinge.experiments.engine

import io.lavenderhinge.core.port.CacheEvent
import io.lavenderhinge.core.port.EngineFault
import io.lavenderhinge.core.port.LoadReport
import io.lavenderhinge.experiments.time.EventLoop

/**
 * Simulated model engine with continuous batching: each iteration decodes one token of every
 * running sequence and prefills one chunk of the oldest prompts. Requests are admitted in arrival
 * order, without priorities.
 */
class FakeEngine(
    override val id: String,
    private val profile: HardwareProfile,
    private val loop: EventLoop,
    private val listener: BackendListener,
    private val version: String = "1",
    private val versionFaults: List<VersionFault> = emptyList(),
) : Backend {
    private val waiting = LinkedHashMap<String, Sequence>()
    private val running = LinkedHashMap<String, Sequence>()
    private val suspended = HashMap<String, Sequence>()
    private val cache = PrefixCache(profile.cacheTokens)
    private var isIterating = false
    private var isDraining = false

    // Incremented by each crash, so that an iteration begun before it is ignored when it ends.
    private var incarnation = 0

    override var slowdownFactor = 1.0
    override var isUp = true
        private set

    override fun submit(job: BackendJob): EngineFault.Refused? {
        if (isDraining) {
            return EngineFault.Refused(503, "engine is draining; use another replica", true)
        }
        waiting[job.request.id] = Sequence(job)
        startIfIdle()
        return null
    }

    override fun cancel(requestId: String) {
        waiting.remove(requestId)
        running.remove(requestId)
        suspended.remove(requestId)
    }

    override fun suspend(requestId: String): Boolean {
        val sequence = waiting.remove(requestId) ?: running.remove(requestId) ?: return false
        suspended[requestId] = sequence
        return true
    }

    override fun resume(requestId: String): Boolean {
        val sequence = suspended.remove(requestId) ?: return false
        waiting[requestId] = sequence
        startIfIdle()
        return true
    }

    override fun crash() {
        val lost = waiting.values + running.values + suspended.values
        isUp = false
        incarnation++
        isIterating = false
        waiting.clear()
        running.clear()
        suspended.clear()
        cache.clear()
        lost.forEach { listener.onFailed(it.job, id, "engine closed the connection") }
    }

    override fun restart() {
        isUp = true
        isDraining = false
    }

    override fun startDraining() {
        isDraining = true
    }

    override fun load(): LoadReport =
        LoadReport(running.size, waiting.size, contextTokens(), version, ageMillis = 0)

    override fun takeCacheEvents(): List<CacheEvent> = cache.takeEvents()

    override fun cachedTokens(prefixHashes: List<Long>): Int = cache.cachedTokens(prefixHashes)

    private fun startIfIdle() {
        if (isIterating) return
        isIterating = true
        startIteration()
    }

    private fun startIteration() {
        admit()
        if (running.isEmpty()) {
            isIterating = false
            return
        }
        val prefillTokens = assignPrefillChunks()
        val micros = profile.iterationMicros(running.size, contextTokens(), prefillTokens)
        val startIncarnation = incarnation
        loop.after((micros * slowdownFactor).toLong()) {
            if (startIncarnation == incarnation) finishIteration()
        }
    }

    private fun admit() {
        while (waiting.isNotEmpty() && running.size < profile.maxSequences) {
            val sequence = waiting.remove(waiting.keys.first()) ?: return
            if (!sequence.isAdmitted) reusePrefix(sequence)
            running[sequence.id] = sequence
        }
    }

    private fun reusePrefix(sequence: Sequence) {
        val request = sequence.job.request
        // The last prompt token is always computed, because its output is the first response token.
        val cached = minOf(cache.cachedTokens(request.prefixHashes), request.promptTokens - 1)
        sequence.isAdmitted = true
        sequence.cachedPrefixTokens = cached
        sequence.computedPromptTokens = cached
    }

    private fun assignPrefillChunks(): Int {
        var remainingTokens = profile.chunkTokens
        for (sequence in running.values) {
            sequence.scheduledPrefillTokens = minOf(remainingTokens, sequence.remainingPromptTokens)
            remainingTokens -= sequence.scheduledPrefillTokens
        }
        return profile.chunkTokens - remainingTokens
    }

    private fun finishIteration() {
        for (sequence in running.values.toList()) advance(sequence)
        startIteration()
    }

    private fun advance(sequence: Sequence) {
        if (sequence.isDecoding) return decode(sequence)
        sequence.computedPromptTokens += sequence.scheduledPrefillTokens
        sequence.job.prefilledTokens += sequence.scheduledPrefillTokens
        if (sequence.remainingPromptTokens == 0) finishPrefill(sequence)
    }

    private fun finishPrefill(sequence: Sequence) {
        cache.store(sequence.job.request.prefixHashes)
        if (isAffected(sequence, VersionFaultKind.FAIL)) {
            running.remove(sequence.id)
            listener.onFailed(sequence.job, id, "engine responded with status 500")
            return
        }
        sequence.firstTokenMicros = loop.nowMicros
        sequence.generatedTokens = 1
        listener.onFirstToken(sequence.job, id, sequence.cachedPrefixTokens)
        completeIfDone(sequence)
    }

    private fun decode(sequence: Sequence) {
        if (
            isAffected(sequence, VersionFaultKind.SLOW) &&
                sequence.skippedIterations < SKIPPED_ITERATIONS_WHEN_SLOW
        ) {
            sequence.skippedIterations++
            return
        }
        sequence.skippedIterations = 0
        sequence.generatedTokens++
        completeIfDone(sequence)
    }

    private fun completeIfDone(sequence: Sequence) {
        if (sequence.generatedTokens < sequence.job.outputTokens) return
        running.remove(sequence.id)
        val betweenTokensMillis = sequence.betweenTokensMillis(loop.nowMicros)
        listener.onCompleted(sequence.job, id, sequence.generatedTokens, betweenTokensMillis)
    }

    private fun isAffected(sequence: Sequence, kind: VersionFaultKind): Boolean =
        versionFaults.any {
            it.kind == kind && it.affects(loop.nowMicros, running.size, sequence.job.request.route)
        }

    private fun contextTokens(): Long = running.values.sumOf { it.contextTokens.toLong() }

    private companion object {
        // A sequence with a SLOW fault decodes a token only in every third iteration.
        const val SKIPPED_ITERATIONS_WHEN_SLOW = 2
    }
}
