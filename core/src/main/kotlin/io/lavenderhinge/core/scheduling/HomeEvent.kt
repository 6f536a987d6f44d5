package io.lavenderhinge.core.scheduling

import io.lavenderhinge.core.Tier
import io.lavenderhinge.core.port.CacheEvent
import io.lavenderhinge.core.port.LoadReport
import kotlinx.collections.immutable.ImmutableList

/** What can happen to the home of a backend server. */
sealed interface HomeEvent {
    /** An entry asks for a slot. */
    data class Requested(val request: GrantRequest) : HomeEvent

    /** An entry registers a request in service: a grant in use, or one of an earlier home. */
    data class Registered(val request: GrantRequest) : HomeEvent

    /** An entry withdraws an ask or returns an unused grant. */
    data class Released(val key: GrantRequestKey) : HomeEvent

    /** A request in service ended. */
    data class Finished(val key: GrantRequestKey, val result: SlotResult) : HomeEvent

    /** The backend server reported its load. */
    data class LoadReported(val report: LoadReport) : HomeEvent

    /** The engine published changes of its prefix cache. */
    data class CacheChanged(val events: ImmutableList<CacheEvent>) : HomeEvent

    /** The link to an entry broke; its waiting asks are void. */
    data class LinkLost(val entryId: String) : HomeEvent

    /** Tiers below [lowestOpenTier] are closed for the whole pool until [untilMillis]. */
    data class PoolTierChanged(val lowestOpenTier: Tier, val untilMillis: Long) : HomeEvent

    /** The view of the backend server's health changed. */
    data class ServerChanged(val health: ServerHealth) : HomeEvent

    /** Time passed; sent at least every 100 ms. */
    data object Tick : HomeEvent

    /** This instance is no longer the home, or shuts down: waiting asks are handed back. */
    data class Closed(val reason: RefusalReason) : HomeEvent
}
