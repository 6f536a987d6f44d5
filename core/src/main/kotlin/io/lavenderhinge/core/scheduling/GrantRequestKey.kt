package io.lavenderhinge.core.scheduling

/** Identifies a grant request at a home. Each entry numbers its grant requests independently. */
data class GrantRequestKey(val entryId: String, val grantRequestId: String)
