package io.lavenderhinge.instance.scheduling

import arrow.core.Either
import io.lavenderhinge.core.port.CacheEvent
import io.lavenderhinge.core.port.LoadReport
import io.lavenderhinge.core.routing.SlotRefusal
import io.lavenderhinge.core.routing.SlotRequest
import io.lavenderhinge.protocol.v1.ServerSummary
import kotlinx.collections.immutable.ImmutableList

/**
 * Grants slots of backend servers to the request path and hosts the homes of the backend servers
 * for which this instance is chosen.
 */
interface SlotService {
    /**
     * Waits for a slot. Cancelling the caller withdraws the ask. May be called from any thread. The
     * request path asserts nothing else: a refusal means that nothing was sent.
     */
    suspend fun acquire(request: SlotRequest): Either<SlotRefusal, Slot>

    /** Takes a load report of a backend server, from the poller; ignored if not at home here. */
    fun loadReported(serverId: String, report: LoadReport)

    /** Takes cache events of an engine, from the poller; ignored if not at home here. */
    fun cacheChanged(serverId: String, events: ImmutableList<CacheEvent>)

    /** Backend servers whose home is here; the poller reads their load and cache events. */
    fun hostedServerIds(): Set<String>

    /** Summaries of the homes here, to be gossiped in `Digest.servers`; control thread only. */
    fun summaries(): List<ServerSummary>

    /** Hands waiting asks back and refuses new ones; requests in service go on. */
    fun shutdown()
}
