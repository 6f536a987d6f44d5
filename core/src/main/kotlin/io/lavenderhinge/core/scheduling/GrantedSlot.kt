package io.lavenderhinge.core.scheduling

import io.lavenderhinge.core.limit.LoadIntegral

/** A granted slot. [contextTokens] is the expected context at the end of the request. */
internal class GrantedSlot(
    val request: GrantRequest,
    val contextTokens: Long,
    val prefillTokens: Int,
    val expectedPrefillMillis: Double,
    val grantedAtMillis: Long,
    val loadAtStart: LoadIntegral.Snapshot,
) {
    /** False until the entry confirms that the grant is in use. */
    var isConfirmed = false

    /** When the link to the entry broke, or null. */
    var orphanedAtMillis: Long? = null

    /** When the entry was told to suspend the request, or null. */
    var preemptedAtMillis: Long? = null
}
