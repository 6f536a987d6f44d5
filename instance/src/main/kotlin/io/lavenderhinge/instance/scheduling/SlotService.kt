package io.lavenderhinge.instance.scheduling

import arrow.core.Either
import io.lavenderhinge.core.port.CacheEvent
import io.lavenderhinge.core.port.LoadReport
import io.lavenderhinge.core.routing.SlotRefusal
import io.lavenderhinge.core.routing.SlotRequest
import io.lavenderhinge.protocol.v1.ServerSummary
import kotlinx.collections.immutable.ImmutableList

/**
 * Acquires slots of backend servers for the request path, and runs the homes of the backend servers
 * that are assigned to this instance.
 */
interface SlotService {
    /**
     * Waits for a slot. A refusal means that nothing was sent. Cancelling the caller withdraws the
     * request. Callable from any thread.
     */
    suspend fun acquire(request: SlotRequest): Either<SlotRefusal, Slot>

    /** Handles a polled load report. Ignored if this instance is not the home of the server. */
    fun loadReported(serverId: String, report: LoadReport)

    /** Handles polled cache events of an engine whose home is this instance. */
    fun cacheChanged(serverId: String, events: ImmutableList<CacheEvent>)

    /**
     * Backend servers whose home is this instance; the poller reads their load and cache events.
     */
    fun hostedServerIds(): Set<String>

    /** Summaries of the homes on this instance, for `Digest.servers`. Control thread only. */
    fun summaries(): List<ServerSummary>

    /** Refuses queued and new requests; requests in service continue. */
    fun shutdown()
}
