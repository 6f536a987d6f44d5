package io.lavenderhinge.instance.scheduling

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.lavenderhinge.core.port.CacheEvent
import io.lavenderhinge.core.port.LoadReport
import io.lavenderhinge.core.routing.ServerView
import io.lavenderhinge.core.routing.SlotRefusal
import io.lavenderhinge.core.routing.SlotRefusalReason
import io.lavenderhinge.core.routing.SlotRequest
import io.lavenderhinge.core.scheduling.ServerState
import io.lavenderhinge.core.scheduling.SlotResult
import io.lavenderhinge.protocol.v1.ServerSummary
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicInteger
import kotlinx.collections.immutable.ImmutableList
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.Deferred

/** Picks the backend server with the fewest requests of this instance; no queue, no priority. */
internal class LeastInFlightSlots(private val servers: () -> List<ServerView>) : SlotService {
    private val inFlight = ConcurrentHashMap<String, AtomicInteger>()

    override suspend fun acquire(request: SlotRequest): Either<SlotRefusal, Slot> {
        val candidates =
            servers().filter {
                it.target == request.target &&
                    it.version == request.version &&
                    it.health.state == ServerState.LIVE
            }
        val server = candidates.minByOrNull { count(it.id).get() } ?: return NO_SERVER.left()
        count(server.id).incrementAndGet()
        return HeldSlot(request.requestId, server).right()
    }

    override fun loadReported(serverId: String, report: LoadReport) = Unit

    override fun cacheChanged(serverId: String, events: ImmutableList<CacheEvent>) = Unit

    override fun hostedServerIds(): Set<String> = emptySet()

    override fun summaries(): List<ServerSummary> = emptyList()

    override fun shutdown() = Unit

    private fun count(serverId: String) = inFlight.computeIfAbsent(serverId) { AtomicInteger() }

    private inner class HeldSlot(override val requestId: String, override val server: ServerView) :
        Slot {
        private val ended = AtomicBoolean()
        override val cachedPrefixTokens = 0
        override val preempted: Deferred<Unit> = CompletableDeferred()

        override fun done(result: SlotResult) = release()

        override fun release() {
            if (ended.compareAndSet(false, true)) count(server.id).decrementAndGet()
        }
    }

    private companion object {
        val NO_SERVER =
            SlotRefusal(
                SlotRefusalReason.NO_SERVER,
                retryAfterMillis = 1_000,
                "no backend server of the version in force is live; retry later",
            )
    }
}
