package io.lavenderhinge.core.scheduling

/** A message of the home of [serverId]. */
data class HomeMessage(val serverId: String, val effect: HomeEffect)
