package io.lavenderhinge.core.routing

import io.lavenderhinge.core.port.CacheEvent
import io.lavenderhinge.core.scheduling.HomeEffect
import io.lavenderhinge.core.scheduling.HomeSummary
import io.lavenderhinge.core.scheduling.InstanceView
import io.lavenderhinge.core.scheduling.ServerView
import io.lavenderhinge.core.scheduling.SlotResult
import kotlinx.collections.immutable.ImmutableList

/** What can happen to the router of an entry. */
sealed interface RouterEvent {
    /** A caller's request needs a slot. */
    data class Requested(val request: SlotRequest) : RouterEvent

    /** The caller went away, or no longer needs the slot that it waits for or holds unused. */
    data class Released(val requestId: String) : RouterEvent

    /** The request that held the slot ended. */
    data class Finished(val requestId: String, val result: SlotResult) : RouterEvent

    /** A home answered. */
    data class HomeAnswered(val homeId: String, val serverId: String, val message: HomeEffect) :
        RouterEvent

    /** The link to an instance broke, or a message to it could not be sent. */
    data class LinkLost(val instanceId: String) : RouterEvent

    /** The live instances or backend servers changed. */
    data class ViewChanged(
        val instances: ImmutableList<InstanceView>,
        val servers: ImmutableList<ServerView>,
    ) : RouterEvent

    /** Gossip brought summaries of homes. */
    data class SummariesReceived(val summaries: ImmutableList<HomeSummary>) : RouterEvent

    /** Late cache events of a backend server, when this instance reads them as its home. */
    data class CacheChanged(val serverId: String, val events: ImmutableList<CacheEvent>) :
        RouterEvent

    /** Time passed; sent at least every 100 ms. */
    data object Tick : RouterEvent

    /** This instance shuts down: waiting requests are refused. */
    data object Closed : RouterEvent
}
