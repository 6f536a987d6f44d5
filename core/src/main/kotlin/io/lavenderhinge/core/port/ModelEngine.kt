package io.lavenderhinge.core.port

import arrow.core.Either
import kotlinx.collections.immutable.ImmutableList

/** Load reported by an engine. [ageMillis] is the age of the report, as far as known. */
data class LoadReport(
    val running: Int,
    val waiting: Int,
    val contextTokens: Long,
    val version: String,
    val ageMillis: Long,
)

/** A change of an engine's prefix cache. A gap in [sequence] means that events were lost. */
data class CacheEvent(val sequence: Long, val prefixHash: Long, val stored: Boolean)

/**
 * An order to an engine. Engines that check [fencingNumber] refuse one lower than the highest they
 * have seen.
 */
data class EngineOrder(val action: EngineAction, val version: String, val fencingNumber: Long)

/** Action of an [EngineOrder]. */
enum class EngineAction {
    LOAD,
    UNLOAD,
}

/** Why a call to an engine failed. */
sealed interface EngineFault {
    /** What failed and how to recover. */
    val message: String

    /** Nothing was sent, so the request did not run. */
    data class NotSent(override val message: String) : EngineFault

    /** The engine refused the request before running it. */
    data class Refused(val status: Int, override val message: String, val draining: Boolean) :
        EngineFault

    /** The request may have run, in part or whole. */
    data class OutcomeUnknown(override val message: String) : EngineFault

    /** The engine has seen a higher fencing number. */
    data class Fenced(val currentFencingNumber: Long) : EngineFault {
        override val message = "another controller holds fencing number $currentFencingNumber"
    }
}

/** Control interface of one model engine. Requests themselves are streamed by the instance. */
interface ModelEngine {
    /** Reads the engine's load report, which lags. */
    suspend fun load(): Either<EngineFault, LoadReport>

    /** Reads the cache events after [afterSequence]. */
    suspend fun cacheEvents(afterSequence: Long): Either<EngineFault, ImmutableList<CacheEvent>>

    /** Sends an order; repeating an order has no further effect. */
    suspend fun order(order: EngineOrder): Either<EngineFault, Unit>

    /** Cancels the stream of [requestId]; unknown ids are ignored. */
    suspend fun cancel(requestId: String): Either<EngineFault, Unit>
}
