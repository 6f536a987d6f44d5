package io.lavenderhinge.core.scheduling

import io.lavenderhinge.core.limit.LoadIntegral

/** A slot granted by a home. [contextTokens] is the expected context size at request end. */
internal class GrantedSlot(
    val request: GrantRequest,
    val contextTokens: Long,
    val prefillTokens: Int,
    val expectedPrefillMillis: Double,
    val grantedAtMillis: Long,
    val loadAtStart: LoadIntegral.Snapshot,
) {
    /** True once the entry has confirmed that the grant is in use. */
    var isConfirmed = false

    /** Time at which the link to the entry broke, or null. */
    var orphanedAtMillis: Long? = null

    /** Time at which the entry was told to preempt the request, or null. */
    var preemptedAtMillis: Long? = null
}
