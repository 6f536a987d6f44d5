package io.lavenderhinge.instance.scheduling

import io.lavenderhinge.core.scheduling.HomeEffect
import io.lavenderhinge.core.scheduling.HomeEvent

/** Scheduling frame of `peer.proto`, decoded into core types. */
internal sealed interface SchedulingMessage {
    val serverId: String

    data class ToHome(override val serverId: String, val event: HomeEvent) : SchedulingMessage

    data class ToEntry(override val serverId: String, val effect: HomeEffect) : SchedulingMessage
}
