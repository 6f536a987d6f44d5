package io.lavenderhinge.instance.caller

import arrow.core.Either
import arrow.core.right
import io.lavenderhinge.core.Tier
import io.lavenderhinge.core.health.FailureKind
import io.lavenderhinge.core.port.CacheEvent
import io.lavenderhinge.core.port.LoadReport
import io.lavenderhinge.core.rollout.RequestOutcome
import io.lavenderhinge.core.rollout.TeamTarget
import io.lavenderhinge.core.routing.SlotRefusal
import io.lavenderhinge.core.routing.SlotRequest
import io.lavenderhinge.core.scheduling.ServerView
import io.lavenderhinge.core.scheduling.SlotResult
import io.lavenderhinge.core.settings.Route
import io.lavenderhinge.core.settings.Target
import io.lavenderhinge.core.settings.TeamSettings
import io.lavenderhinge.core.settings.UntimedKeys
import io.lavenderhinge.core.settings.Workspace
import io.lavenderhinge.instance.metrics.RequestMetrics
import io.lavenderhinge.instance.quarantine.PromptGuard
import io.lavenderhinge.instance.scheduling.Slot
import io.lavenderhinge.instance.scheduling.SlotService
import io.lavenderhinge.protocol.v1.ServerSummary
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import kotlinx.collections.immutable.ImmutableList
import kotlinx.coroutines.CompletableDeferred

private const val DEADLINE_MILLIS = 3_000L

/** What service calls need, with one server of service `s` on [port] that always has a slot. */
internal class ServiceCallFixture(port: Int) {
    private val target = Target.Service("s")
    private val server = ServerView("i1", "127.0.0.1:$port", "d0", target, "1")

    val services =
        RequestServices(
            selfId = "self",
            routes = { null },
            slots = FreeSlots(server),
            ledger = { _, _ -> error("not used by service calls") },
            versionSelector = OneVersion,
            serverOutcomes = IgnoredOutcomes,
            promptGuard = NoQuarantine,
            metrics = RequestMetrics(SimpleMeterRegistry()),
            nowMillis = System::currentTimeMillis,
        )

    fun context(attemptId: String, isIdempotent: Boolean): RequestContext {
        val nowMillis = System.currentTimeMillis()
        return RequestContext(
            requestId = "caller-$attemptId",
            attemptId = attemptId,
            team = TeamSettings("t", 1),
            workspace = Workspace("w", 1.0, "c"),
            route = route(isIdempotent),
            receivedMillis = nowMillis,
            deadlineMillis = nowMillis + DEADLINE_MILLIS,
        )
    }

    private fun route(isIdempotent: Boolean) =
        Route(
            name = "r",
            path = "/",
            target = target,
            tier = Tier.STANDARD,
            idempotent = isIdempotent,
            deadlineMillis = DEADLINE_MILLIS,
            firstTokenMillis = DEADLINE_MILLIS,
            betweenTokensMillis = DEADLINE_MILLIS,
            retentionMillis = DEADLINE_MILLIS,
            untimedKeys = UntimedKeys.ACCEPT,
        )
}

private class FreeSlots(private val server: ServerView) : SlotService {
    override suspend fun acquire(request: SlotRequest): Either<SlotRefusal, Slot> =
        FreeSlot(request.requestId, server).right()

    override fun loadReported(serverId: String, report: LoadReport) = Unit

    override fun cacheChanged(serverId: String, events: ImmutableList<CacheEvent>) = Unit

    override fun hostedServerIds(): Set<String> = setOf(server.id)

    override fun summaries(): List<ServerSummary> = emptyList()

    override fun shutdown() = Unit
}

private class FreeSlot(override val requestId: String, override val server: ServerView) : Slot {
    override val cachedPrefixTokens = 0
    override val preempted = CompletableDeferred<Unit>()

    override fun done(result: SlotResult) = Unit

    override fun release() = Unit
}

private object OneVersion : VersionSelector {
    override fun versionFor(target: TeamTarget, requestId: String) = "1"

    override fun recordOutcome(
        target: TeamTarget,
        route: String,
        version: String,
        outcome: RequestOutcome,
    ) = Unit
}

private object IgnoredOutcomes : ServerOutcomeRecorder {
    override fun recordSuccess(serverId: String, firstTokenMillis: Long?) = Unit

    override fun recordFailure(serverId: String, kind: FailureKind) = Unit
}

private object NoQuarantine : PromptGuard {
    override val revision = 0

    override suspend fun blockedPart(model: String, partIds: List<String>) = null

    override fun recordCrash(serverId: String, model: String, partIds: List<String>) = Unit

    override fun recordAnswer(model: String, partIds: List<String>) = Unit
}
