package io.lavenderhinge.core.scheduling

/** A live instance that can be a home. */
data class InstanceView(val id: String, val failureDomain: String)
