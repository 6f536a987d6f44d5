package io.lavenderhinge.adapters

import io.lavenderhinge.core.limit.LimitStatement

/** The header field in which a backend server states how many requests per second it takes. */
object RequestLimitHeader {
    const val NAME = "Server-Limit"

    /** Decodes the [value] of the field; an absent or malformed one states no limit. */
    fun decode(value: String?): LimitStatement =
        LimitStatement(value?.trim()?.toDoubleOrNull()?.takeIf { it.isFinite() && it >= 0 })
}
