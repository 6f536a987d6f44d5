package io.lavenderhinge.core.port

import arrow.core.Either

/** Why a call to the weight store failed; [retryAfterMillis] is set when it was rate-limited. */
data class WeightStoreFault(val message: String, val retryAfterMillis: Long?)

/** The platform's rate-limited store of model weights. */
fun interface WeightStore {
    /** Returns whether the weights of [version] of [model] are available for loading. */
    suspend fun hasWeights(model: String, version: String): Either<WeightStoreFault, Boolean>
}
