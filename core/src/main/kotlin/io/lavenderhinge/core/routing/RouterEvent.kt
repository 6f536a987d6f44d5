package io.lavenderhinge.core.routing

import io.lavenderhinge.core.port.CacheEvent
import io.lavenderhinge.core.scheduling.HomeEffect
import io.lavenderhinge.core.scheduling.HomeSummary
import io.lavenderhinge.core.scheduling.InstanceView
import io.lavenderhinge.core.scheduling.ServerView
import io.lavenderhinge.core.scheduling.SlotResult
import kotlinx.collections.immutable.ImmutableList

/** Input event of [SlotRouter]. */
sealed interface RouterEvent {
    /** A caller's request needs a slot. */
    data class Requested(val request: SlotRequest) : RouterEvent

    /** The caller disconnected or no longer needs the slot, which it waits for or holds unused. */
    data class Released(val requestId: String) : RouterEvent

    /** The request that held the slot has ended. */
    data class Finished(val requestId: String, val result: SlotResult) : RouterEvent

    /** A home answered a grant request or preempts a slot. */
    data class HomeAnswered(val homeId: String, val serverId: String, val message: HomeEffect) :
        RouterEvent

    /** The link to an instance broke, or a message to it could not be sent. */
    data class LinkLost(val instanceId: String) : RouterEvent

    /** The live instances or backend servers changed. */
    data class ViewChanged(
        val instances: ImmutableList<InstanceView>,
        val servers: ImmutableList<ServerView>,
    ) : RouterEvent

    /** Summaries of homes were received by gossip. */
    data class SummariesReceived(val summaries: ImmutableList<HomeSummary>) : RouterEvent

    /** Delayed cache events of a backend server whose home is this instance. */
    data class CacheChanged(val serverId: String, val events: ImmutableList<CacheEvent>) :
        RouterEvent

    /** Periodic tick, sent at least every 100 ms. */
    data object Tick : RouterEvent

    /** This instance shuts down; waiting requests are refused. */
    data object Closed : RouterEvent
}
