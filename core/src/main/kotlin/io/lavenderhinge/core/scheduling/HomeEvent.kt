package io.lavenderhinge.core.scheduling

import io.lavenderhinge.core.Tier
import io.lavenderhinge.core.port.CacheEvent
import io.lavenderhinge.core.port.LoadReport
import kotlinx.collections.immutable.ImmutableList

/** Input event of the home of a backend server. */
sealed interface HomeEvent {
    /** An entry requests a slot. */
    data class Requested(val request: GrantRequest) : HomeEvent

    /** An entry registers a request in service: it uses a grant of this or of a previous home. */
    data class Registered(val request: GrantRequest) : HomeEvent

    /** An entry withdraws a grant request or returns an unused grant. */
    data class Released(val key: GrantRequestKey) : HomeEvent

    /** A request in service ended. */
    data class Finished(val key: GrantRequestKey, val result: SlotResult) : HomeEvent

    /** The backend server reported its load. */
    data class LoadReported(val report: LoadReport) : HomeEvent

    /** The engine published changes of its prefix cache. */
    data class CacheChanged(val events: ImmutableList<CacheEvent>) : HomeEvent

    /** The link to an entry broke; its queued requests are dropped. */
    data class LinkLost(val entryId: String) : HomeEvent

    /** Tiers below [lowestOpenTier] are closed for the whole pool until [untilMillis]. */
    data class PoolTierChanged(val lowestOpenTier: Tier, val untilMillis: Long) : HomeEvent

    /** The view of the backend server's health changed. */
    data class ServerChanged(val health: ServerHealth) : HomeEvent

    /** Periodic tick, sent at least every 100 ms. */
    data object Tick : HomeEvent

    /** This instance is no longer the home or shuts down; queued requests are refused. */
    data class Closed(val reason: RefusalReason) : HomeEvent
}
