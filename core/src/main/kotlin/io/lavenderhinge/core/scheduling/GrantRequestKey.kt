package io.lavenderhinge.core.scheduling

/** Identifies an ask at a home. Entries number their asks independently of each other. */
data class GrantRequestKey(val entryId: String, val grantRequestId: String)
