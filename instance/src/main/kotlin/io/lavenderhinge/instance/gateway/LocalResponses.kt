package io.lavenderhinge.instance.gateway

import io.lavenderhinge.core.forwarding.Admission
import io.lavenderhinge.core.forwarding.Rejection
import io.lavenderhinge.http.HttpField
import io.lavenderhinge.http.HttpResponse
import io.lavenderhinge.http.HttpStatus
import java.util.Locale

private const val MILLIS_PER_SECOND = 1_000.0

/**
 * A response without a body that this instance generates itself. A positive [retryAfterMillis] sets
 * `Retry-After`.
 */
internal fun emptyResponse(status: Int, retryAfterMillis: Long = 0): HttpResponse {
    val fields =
        if (retryAfterMillis <= 0) emptyList()
        else listOf(HttpField("Retry-After", toSeconds(retryAfterMillis)))
    return HttpResponse(status, ByteArray(0), fields)
}

/** The response to a request that was not admitted. */
internal fun rejectionResponse(rejected: Admission.Rejected): HttpResponse =
    emptyResponse(statusOf(rejected.reason), rejected.retryAfterMillis)

private fun statusOf(reason: Rejection): Int =
    when (reason) {
        Rejection.NO_CONFIGURATION,
        Rejection.CONFIGURATION_UNCONFIRMED -> HttpStatus.UNAVAILABLE
        Rejection.NO_ROUTE -> HttpStatus.NOT_FOUND
        Rejection.UNKNOWN_CREDENTIAL -> HttpStatus.UNAUTHORIZED
        Rejection.OVER_QUOTA -> HttpStatus.TOO_MANY_REQUESTS
    }

private fun toSeconds(millis: Long): String =
    String.format(Locale.ROOT, "%.3f", millis / MILLIS_PER_SECOND)
