package io.lavenderhinge.core.forwarding

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.ImmutableSet

/** What may be repeated on a route. */
sealed interface RouteKind {
    /** A request may run more than once. */
    data object Idempotent : RouteKind

    /** A request may run at most once. */
    data object NonIdempotent : RouteKind

    /**
     * The answer is a stream of events. A stream that is not [resumable] may run at most once.
     * [targetGapMillis] is the longest pause between events that callers accept as on time.
     */
    data class Streaming(val resumable: Boolean, val targetGapMillis: Long) : RouteKind
}

/** A service and its share of a route's traffic. */
data class WeightedService(val service: String, val weight: Double)

/** A route: requests for [host] whose path starts with [pathPrefix] go to [destinations]. */
data class ForwardRoute(
    val name: String,
    val host: String,
    val pathPrefix: String,
    val kind: RouteKind,
    val timeoutMillis: Long,
    val targetLatencyMillis: Long,
    /** 0 is the most urgent. */
    val priority: Int,
    val destinations: ImmutableList<WeightedService>,
    /** The largest number of backend servers that one request may be sent to. */
    val maxServers: Int,
    val allowsAnonymous: Boolean,
) {
    /** True when a request of this route may run more than once. */
    val isRetryable: Boolean
        get() =
            when (kind) {
                is RouteKind.Idempotent -> true
                is RouteKind.NonIdempotent -> false
                is RouteKind.Streaming -> kind.resumable
            }
}

/** A pool of backend servers. */
data class ForwardService(
    val name: String,
    /** Output tokens in one event of a stream. */
    val tokensPerEvent: Int,
)

/** A token or request quota: [ratePerSecond] on average and [burst] at once; 0 means no limit. */
data class WorkspaceQuota(
    val ratePerSecond: Double,
    val burst: Double,
    val countsTokens: Boolean,
    /** Cost of a request that does not state its tokens. */
    val defaultTokens: Double,
)

/** A customer: [credentials] name it, [priority] goes before the priority of a route. */
data class ForwardWorkspace(
    val name: String,
    val credentials: ImmutableSet<String>,
    val priority: Int?,
    val quota: WorkspaceQuota?,
)

/** Bounds on what a caller may send. */
data class CallerLimits(
    val headBytes: Int,
    val bodyBytes: Int,
    val headMillis: Long,
    val idleMillis: Long,
)

/**
 * The operator's configuration as one whole. A higher [version] replaces a lower one.
 *
 * [workspaces] is null when requests need no credential.
 */
data class ForwardingConfig(
    val version: Long,
    val routes: ImmutableList<ForwardRoute>,
    val services: ImmutableList<ForwardService>,
    val workspaces: ImmutableList<ForwardWorkspace>?,
    val limits: CallerLimits?,
)

/** A backend server as it registered itself. Addresses are reused, so [id] identifies it. */
data class ServerEntry(
    val id: String,
    val service: String,
    val ip: String,
    val port: Int,
    val failureDomain: String,
    val softwareVersion: String,
    val slots: Int,
    /** False once the server announced that it leaves. */
    val acceptsWork: Boolean,
    /** Start of this run of the server in epoch milliseconds; 0 when it is not stated. */
    val startedMillis: Long,
    /** How much longer the server is slow after its start. */
    val warmUpRemainingMillis: Long = 0,
)
