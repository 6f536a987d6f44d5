package io.lavenderhinge.core.port

import arrow.core.Either

/**
 * The weight store did not serve the call; [retryAfterMillis] is set when its rate limit did it.
 */
data class WeightStoreFault(val message: String, val retryAfterMillis: Long?)

/** The platform's rate-limited store of model weights. */
fun interface WeightStore {
    /** Tells whether the weights of [version] of [model] are there to be loaded. */
    suspend fun has(model: String, version: String): Either<WeightStoreFault, Boolean>
}
