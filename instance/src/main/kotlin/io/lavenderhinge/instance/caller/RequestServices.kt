package io.lavenderhinge.instance.caller

import io.lavenderhinge.core.rollout.RequestOutcome
import io.lavenderhinge.core.rollout.TeamTarget
import io.lavenderhinge.core.settings.RouteTable
import io.lavenderhinge.http.HttpExchange
import io.lavenderhinge.instance.ledger.Ledger
import io.lavenderhinge.instance.metrics.RequestMetrics
import io.lavenderhinge.instance.quarantine.PromptGuard
import io.lavenderhinge.instance.scheduling.SlotService

/** Selects the version for each request and records outcomes by version. Thread-safe. */
interface VersionSelector {
    /** Returns the version for a request, or null if [target] is not configured. */
    fun versionFor(target: TeamTarget, requestId: String): String?

    /** Records the outcome of a request to [version]. */
    fun recordOutcome(target: TeamTarget, route: String, version: String, outcome: RequestOutcome)
}

/** Records request outcomes for the health tracking of backend servers. Thread-safe. */
interface ServerOutcomeRecorder {
    /** Records a successful request; [firstTokenMillis] is null for plain services. */
    fun recordSuccess(serverId: String, firstTokenMillis: Long?)

    fun recordFailure(serverId: String, kind: io.lavenderhinge.core.health.FailureKind)
}

/** Dependencies of the request path on the rest of the instance. */
internal class RequestServices(
    val selfId: String,
    /** Routes of the active settings; null until settings are loaded. */
    val routes: () -> RouteTable?,
    val slots: SlotService,
    val ledger: Ledger,
    val versionSelector: VersionSelector,
    val serverOutcomes: ServerOutcomeRecorder,
    val promptGuard: PromptGuard,
    val metrics: RequestMetrics,
    val nowMillis: () -> Long,
) {
    /** Answers a validated request with [problem]. */
    suspend fun respondWithProblem(
        exchange: HttpExchange,
        context: RequestContext,
        problem: Problem,
    ) {
        metrics.recordProblem(context.route.tier, problem.code, problem.outcome.text)
        exchange.respond(problem.response(context.requestId))
    }
}
