package io.lavenderhinge.instance.caller

import io.lavenderhinge.core.rollout.RequestOutcome
import io.lavenderhinge.core.rollout.TeamTarget
import io.lavenderhinge.core.settings.RouteTable
import io.lavenderhinge.instance.ledger.Ledger
import io.lavenderhinge.instance.metrics.RequestMetrics
import io.lavenderhinge.instance.scheduling.SlotService

/** Chooses versions and takes what was observed of them. May be called on any thread. */
interface VersionSelector {
    /** The version for a request, or null when the settings do not name [target]. */
    fun versionFor(target: TeamTarget, requestId: String): String?

    /** Counts the outcome of a request to [version]. */
    fun recordOutcome(target: TeamTarget, route: String, version: String, outcome: RequestOutcome)
}

/** Takes evidence about backend servers. May be called on any thread. */
interface ServerOutcomeRecorder {
    /** A request was answered. */
    fun recordSuccess(serverId: String, firstTokenMillis: Long?)

    /** A request failed. */
    fun recordFailure(serverId: String, kind: io.lavenderhinge.core.health.FailureKind)
}

/** What the request path needs from the rest of the instance. */
internal class RequestServices(
    val selfId: String,
    /** Routes of the settings in force; null before there are any. */
    val routes: () -> RouteTable?,
    val slots: SlotService,
    val ledger: Ledger,
    val versionSelector: VersionSelector,
    val serverOutcomes: ServerOutcomeRecorder,
    val metrics: RequestMetrics,
    val nowMillis: () -> Long,
)
