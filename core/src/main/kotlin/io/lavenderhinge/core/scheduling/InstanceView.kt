package io.lavenderhinge.core.scheduling

/** A live instance that is eligible as a home. */
data class InstanceView(val id: String, val failureDomain: String)
