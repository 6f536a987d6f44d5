package io.lavenderhinge.core.forwarding

import io.lavenderhinge.core.ServerRun
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.ImmutableSet

/** Determines whether requests of a route may be retried. */
sealed interface RouteKind {
    /** A request may be executed more than once. */
    data object Idempotent : RouteKind

    /** A request may be executed at most once. */
    data object NonIdempotent : RouteKind

    /**
     * The response is an event stream. A request whose stream is not [resumable] may be executed at
     * most once. [targetGapMillis] is the longest interval between events that counts as on time.
     */
    data class Streaming(val resumable: Boolean, val targetGapMillis: Long) : RouteKind
}

/** A service and its relative weight in the traffic split of a route. */
data class WeightedService(val service: String, val weight: Double)

/** Routes requests for [host] whose path starts with [pathPrefix] to [destinations]. */
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
    /** Maximum number of backend servers to which one request may be sent. */
    val maxServers: Int,
    val allowsAnonymous: Boolean,
    /** Regions whose servers may get its requests; null if all. */
    val allowedRegions: ImmutableSet<String>? = null,
) {
    /**
     * How long clients wait for the first event of a stream; null if responses are unary. They
     * abandon a stream whose first event is several times later than its target, which may be
     * before its timeout. The timeout may change and is not part of this.
     */
    val patienceMillis: Long?
        get() =
            when (kind) {
                is RouteKind.Idempotent,
                is RouteKind.NonIdempotent -> null
                is RouteKind.Streaming ->
                    maxOf(
                        MIN_PATIENCE_MILLIS,
                        PATIENCE_PER_TARGET * targetLatencyMillis,
                        PATIENCE_PER_GAP * kind.targetGapMillis.coerceAtMost(timeoutMillis),
                    )
            }

    /** True when a request of this route may be executed more than once. */
    val isRetryable: Boolean
        get() =
            when (kind) {
                is RouteKind.Idempotent -> true
                is RouteKind.NonIdempotent -> false
                is RouteKind.Streaming -> kind.resumable
            }

    private companion object {
        const val MIN_PATIENCE_MILLIS = 2_000L
        const val PATIENCE_PER_TARGET = 4L
        const val PATIENCE_PER_GAP = 8L
    }
}

/** A service that is provided by a pool of backend servers. */
data class ForwardService(
    val name: String,
    /** Number of output tokens in one event of a stream. */
    val tokensPerEvent: Int,
    /** Prompt tokens that each server keeps in its cache; null if not configured. */
    val cacheTokens: Long? = null,
    /** Limit of servers that are cold; null if the service has none. */
    val coldRule: ColdRule? = null,
)

/**
 * A rate limit on tokens or requests: [ratePerSecond] on average with bursts of up to [burst]. A
 * [ratePerSecond] of 0 means no limit.
 */
data class WorkspaceQuota(
    val ratePerSecond: Double,
    val burst: Double,
    val countsTokens: Boolean,
    /** Cost of a request without a token count. */
    val defaultTokens: Double,
)

/** A customer, identified by [credentials]. [priority] takes precedence over route priorities. */
data class ForwardWorkspace(
    val name: String,
    val credentials: ImmutableSet<String>,
    val priority: Int?,
    val quota: WorkspaceQuota?,
    /** Regions whose servers may get its requests; null if all. */
    val allowedRegions: ImmutableSet<String>? = null,
)

/** Limits on the size and timing of client requests. */
data class CallerLimits(
    val headBytes: Int,
    val bodyBytes: Int,
    val headMillis: Long,
    val idleMillis: Long,
)

/**
 * A complete version of the operator's configuration. A higher [version] replaces a lower one.
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

/** Registration of a backend server. Identified by [id], because addresses are reused. */
data class ServerEntry(
    val id: String,
    val service: String,
    val ip: String,
    val port: Int,
    val failureDomain: String,
    val softwareVersion: String,
    val slots: Int,
    /** False once the server has announced that it is draining. */
    val acceptsWork: Boolean,
    /** Start time of the server process in epoch milliseconds; 0 when unknown. */
    val startedMillis: Long,
    /** Remaining time during which the server is slow after its start. */
    val warmUpRemainingMillis: Long = 0,
) {
    /** The run of the server's process that this entry describes. */
    val run = ServerRun(id, startedMillis)
}
