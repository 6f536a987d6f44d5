package io.lavenderhinge.core.scheduling

/** Message from the home of [serverId] to an entry. */
data class HomeMessage(val serverId: String, val effect: HomeEffect)
