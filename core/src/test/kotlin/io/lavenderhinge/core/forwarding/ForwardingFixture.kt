package io.lavenderhinge.core.forwarding

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toImmutableList

/** A route of host `h` to [service]. */
internal fun route(
    pathPrefix: String = "/a/",
    service: String = "s",
    kind: RouteKind = RouteKind.Idempotent,
    priority: Int = 0,
    allowsAnonymous: Boolean = false,
) =
    ForwardRoute(
        name = pathPrefix,
        host = "h",
        pathPrefix = pathPrefix,
        kind = kind,
        timeoutMillis = 10_000,
        targetLatencyMillis = 600,
        priority = priority,
        destinations = persistentListOf(WeightedService(service, weight = 1.0)),
        maxServers = 2,
        allowsAnonymous = allowsAnonymous,
    )

/** A workspace with the credential `key-NAME`. */
internal fun workspace(name: String, priority: Int? = null, quota: WorkspaceQuota? = null) =
    ForwardWorkspace(name, persistentSetOf("key-$name"), priority, quota)

internal fun tokenQuota(ratePerSecond: Double, burst: Double) =
    WorkspaceQuota(ratePerSecond, burst, countsTokens = true, defaultTokens = 200.0)

internal fun table(routes: List<ForwardRoute>, workspaces: List<ForwardWorkspace>? = null) =
    ForwardingTable(
        ForwardingConfig(
            version = 1,
            routes = routes.toImmutableList(),
            services = persistentListOf(),
            workspaces = workspaces?.toImmutableList(),
            limits = null,
        )
    )

internal fun server(
    id: String,
    slots: Int = 1,
    service: String = "s",
    acceptsWork: Boolean = true,
    startedMillis: Long = 0,
) =
    ServerEntry(
        id = id,
        service = service,
        ip = "10.0.0.1",
        port = 80,
        failureDomain = "d",
        softwareVersion = "v1",
        slots = slots,
        acceptsWork = acceptsWork,
        startedMillis = startedMillis,
    )

internal fun request(
    id: Long,
    priority: Int = 0,
    arrivedMillis: Long = 0,
    targetMillis: Long = arrivedMillis + 600,
    deadlineMillis: Long = arrivedMillis + 10_000,
    promptTokens: Double = 1_000.0,
    expectedEvents: Double = 0.0,
) =
    DispatchRequest(
        id = id,
        service = "s",
        priority = priority,
        promptTokens = promptTokens,
        promptParts = persistentListOf(),
        expectedEvents = expectedEvents,
        arrivedMillis = arrivedMillis,
        targetMillis = targetMillis,
        deadlineMillis = deadlineMillis,
        firstEventDeadlineMillis = deadlineMillis,
        excludedServers = persistentSetOf(),
    )

internal fun finished(
    server: ServerEntry,
    outcome: ServerOutcome,
    promptTokens: Double = 1_000.0,
    isPromptPending: Boolean = false,
    request: DispatchRequest = request(0),
    sentMillis: Long = 0,
) =
    FinishedAttempt(
        server,
        outcome,
        promptTokens,
        isPromptPending,
        request.priority,
        request.promptParts,
        sentMillis,
        request.digest,
        request.workspace,
    )

internal val noTolerance = QuotaTolerance(windowMillis = 8_000, overageFraction = 0.0, slack = 0.0)

/** The cost of [quota] that all instances together may admit in a window. */
internal fun QuotaTolerance.allowedCost(quota: WorkspaceQuota): Double =
    (quota.ratePerSecond * windowMillis / 1_000 + quota.burst) * (1 + overageFraction) + slack
