package io.lavenderhinge.experiments.engine

import io.lavenderhinge.core.port.CacheEvent
import io.lavenderhinge.core.port.EngineFault
import io.lavenderhinge.core.port.LoadReport
import io.lavenderhinge.experiments.scheduler.ScheduledRequest

/**
 * A request with its actual cost, which schedulers do not know: [outputTokens] of a model response,
 * or [serviceMicros] of a plain-service call. [prefilledTokens] counts the tokens prefilled so far.
 */
class BackendJob(
    val request: ScheduledRequest,
    val outputTokens: Int,
    val serviceMicros: Long = 0,
) {
    var prefilledTokens = 0
        internal set
}

/** Receives events of a backend server at the virtual time at which they occur. */
interface BackendListener {
    fun onFirstToken(job: BackendJob, serverId: String, cachedPrefixTokens: Int)

    fun onCompleted(
        job: BackendJob,
        serverId: String,
        outputTokens: Int,
        betweenTokensMillis: Double,
    )

    fun onFailed(job: BackendJob, serverId: String, message: String)
}

/** Simulated backend server: a model engine or a plain service. */
interface Backend {
    val id: String

    /** Multiplier of all durations; 1 is normal speed. */
    var slowdownFactor: Double

    /** False while the process is down. */
    val isUp: Boolean

    /** Queues [job] and returns null, or refuses it. */
    fun submit(job: BackendJob): EngineFault.Refused?

    /** Cancels a request; unknown ids are ignored. */
    fun cancel(requestId: String)

    /** Suspends a request and keeps its progress. Returns false if that is not possible. */
    fun suspend(requestId: String): Boolean

    /** Queues a suspended request again. Returns false if the request is not suspended here. */
    fun resume(requestId: String): Boolean

    /** Fails all requests and refuses connections until [restart]. */
    fun crash()

    /** Restarts without requests or cached prefixes. */
    fun restart()

    /** Refuses new requests and finishes those already accepted. */
    fun startDraining()

    /** Current load; the delivery adds the delay. */
    fun load(): LoadReport

    /** Returns and clears the cache events since the last call. */
    fun takeCacheEvents(): List<CacheEvent>

    /** Prompt tokens that the prefix cache currently holds. */
    fun cachedTokens(prefixHashes: List<Long>): Int
}
