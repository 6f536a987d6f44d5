package io.lavenderhinge.core.routing

import io.lavenderhinge.core.scheduling.HomeEvent
import io.lavenderhinge.core.scheduling.ServerView

/** Output of [SlotRouter]. */
sealed interface RouterEffect {
    /** Sends [event] to the home of [serverId] on the instance [homeId]. */
    data class Send(val homeId: String, val serverId: String, val event: HomeEvent) : RouterEffect

    /** The request may be dispatched to [server] now and exactly once. */
    data class Granted(val requestId: String, val server: ServerView, val cachedPrefixTokens: Int) :
        RouterEffect

    /** No slot was found for the request. */
    data class Refused(val requestId: String, val refusal: SlotRefusal) : RouterEffect

    /** The request in service must be suspended or cancelled. */
    data class Preempted(val requestId: String) : RouterEffect
}
