package io.lavenderhinge.adapters

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import io.lavenderhinge.core.port.StoreFault
import io.lavenderhinge.http.HttpStatus

private val SERVER_ERRORS = 500..599

/** What the store named [store] sent cannot be read; whether the call took effect is unknown. */
fun malformedResponse(store: String): StoreFault =
    StoreFault.OutcomeUnknown("the $store sent a malformed answer; read the key back")

/** The response of a call to the store named [store] if it was served, or what kept it from it. */
fun Either<CallFault, JsonResponse>.toStoreResponse(
    store: String
): Either<StoreFault, JsonResponse> =
    mapLeft(::storeFault).flatMap { response ->
        when (response.status) {
            HttpStatus.TOO_MANY_REQUESTS,
            HttpStatus.UNAVAILABLE ->
                StoreFault.Unavailable("the $store refused the call; retry later").left()
            in SERVER_ERRORS -> malformedResponse(store).left()
            else -> response.right()
        }
    }

private fun storeFault(fault: CallFault): StoreFault =
    when (fault) {
        is CallFault.NotSent -> StoreFault.Unavailable(fault.message)
        is CallFault.Unknown -> StoreFault.OutcomeUnknown(fault.message)
    }
