package io.lavenderhinge.adapters

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import io.lavenderhinge.core.port.StoreFault
import io.lavenderhinge.http.HttpStatus

private val SERVER_ERRORS = 500..599

/** The fault for an unusable response of [store]; the call may have taken effect. */
fun malformedResponse(store: String): StoreFault =
    StoreFault.OutcomeUnknown("the $store sent a malformed response; read the key back")

/** Maps transport faults and the statuses 429 and 5xx of [store] to a [StoreFault]. */
fun Either<CallFault, JsonResponse>.toStoreResponse(
    store: String
): Either<StoreFault, JsonResponse> =
    mapLeft(::storeFault).flatMap { response ->
        when (response.status) {
            HttpStatus.TOO_MANY_REQUESTS,
            HttpStatus.UNAVAILABLE ->
                StoreFault.Unavailable("the $store rejected the call; retry later").left()
            in SERVER_ERRORS -> malformedResponse(store).left()
            else -> response.right()
        }
    }

private fun storeFault(fault: CallFault): StoreFault =
    when (fault) {
        is CallFault.NotSent -> StoreFault.Unavailable(fault.message)
        is CallFault.Unknown -> StoreFault.OutcomeUnknown(fault.message)
    }
