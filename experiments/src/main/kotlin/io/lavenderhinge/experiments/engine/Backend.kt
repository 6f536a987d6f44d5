package io.lavenderhinge.experiments.engine

import io.lavenderhinge.core.port.CacheEvent
import io.lavenderhinge.core.port.EngineFault
import io.lavenderhinge.core.port.LoadReport
import io.lavenderhinge.experiments.scheduler.ScheduledRequest

/**
 * A request with what only the backend server knows: [outputTokens] of a model answer, or
 * [serviceMicros] of a plain call. [prefilledTokens] counts the prefill spent on it so far.
 */
class BackendJob(
    val request: ScheduledRequest,
    val outputTokens: Int,
    val serviceMicros: Long = 0,
) {
    var prefilledTokens = 0
        internal set
}

/** Told by a backend server at the moment something happens there. */
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

/** A backend server in virtual time: a model engine or a plain service. */
interface Backend {
    val id: String

    /** Multiplies all durations; 1 is normal speed. */
    var slowdownFactor: Double

    /** False while the process is down. */
    val isUp: Boolean

    /** Queues [job] and returns null, or refuses it. */
    fun submit(job: BackendJob): EngineFault.Refused?

    /** Ends the work on a request; unknown ids are ignored. */
    fun cancel(requestId: String)

    /** Takes a request out of service and keeps its progress. False when that is not possible. */
    fun suspend(requestId: String): Boolean

    /** Queues a suspended request again. False when it is unknown here. */
    fun resume(requestId: String): Boolean

    /** Fails all requests and refuses connections until [restart]. */
    fun crash()

    /** Comes up empty. */
    fun restart()

    /** Refuses new requests from now on, and finishes the others. */
    fun startDraining()

    /** The load at this moment; lag is added on the way. */
    fun load(): LoadReport

    /** Cache events since the last call. */
    fun takeCacheEvents(): List<CacheEvent>

    /** Prompt tokens that would be served from the prefix cache now. */
    fun cachedTokens(prefixHashes: List<Long>): Int
}
