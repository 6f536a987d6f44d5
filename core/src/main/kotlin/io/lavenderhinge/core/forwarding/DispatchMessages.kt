package io.lavenderhinge.core.forwarding

import io.lavenderhinge.core.quarantine.QuarantineReport
import io.lavenderhinge.core.quarantine.RequestDigest
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.PersistentSet

/** A request for a slot on a backend server of [service]. Times are on the monotonic clock. */
data class DispatchRequest(
    val id: Long,
    val service: String,
    /** 0 is the most urgent. */
    val priority: Int,
    /** Prompt tokens; 0 for a request to a service that is not a model. */
    val promptTokens: Double,
    /** The parts of the prompt in order; empty if the request does not state them. */
    val promptParts: ImmutableList<PromptPart>,
    /** Expected number of events in the response; 0 for a unary response or when unknown. */
    val expectedEvents: Double,
    val arrivedMillis: Long,
    /** Latest time at which the response, or its first event, counts as on time. */
    val targetMillis: Long,
    /** Time at which the client or the route times out. */
    val deadlineMillis: Long,
    /** Time at which the client stops waiting for the first event; at most [deadlineMillis]. */
    val firstEventDeadlineMillis: Long,
    /** Ids of servers that were already tried for this request. */
    val excludedServers: PersistentSet<String>,
    /** True when the request is sampled for the target version of an ongoing rollout. */
    val usesTargetVersion: Boolean = false,
    /** True when a server was lost before it had answered this request. */
    val hasLostServer: Boolean = false,
    /** Identifies the request if it is repeated; null if that is not of interest. */
    val digest: RequestDigest? = null,
    /** Name of the workspace; null if the request needs no credential. */
    val workspace: String? = null,
    /** Regions whose servers may get the request; null if all. */
    val allowedRegions: PersistentSet<String>? = null,
    /** True if the request was probably rejected before and returns when it was told to. */
    val isReturn: Boolean = false,
) {
    /** [promptParts] with the hashes by which instances know them. */
    internal val promptChain: PromptChain by
        lazy(LazyThreadSafetyMode.NONE) { PromptChain(promptParts) }
}

/** The end of an attempt that the [Dispatcher] assigned to [server]. */
data class FinishedAttempt(
    val server: ServerEntry,
    val outcome: ServerOutcome,
    /** [DispatchEffect.Assign.uncachedTokens] of the attempt. */
    val promptTokens: Double,
    /** True if no first event was received. */
    val isPromptPending: Boolean,
    val priority: Int,
    val promptParts: List<PromptPart>,
    val sentMillis: Long,
    /** [DispatchRequest.digest] of the request. */
    val digest: RequestDigest? = null,
    /** [DispatchRequest.workspace] of the request. */
    val workspace: String? = null,
)

/** An action that the caller of the [Dispatcher] carries out for a queued request. */
sealed interface DispatchEffect {
    /** Id of the [DispatchRequest]. */
    val requestId: Long

    /** Send the request to [server] and call [Dispatcher.onFinished] when it ends. */
    data class Assign(
        override val requestId: Long,
        val server: ServerEntry,
        /** Expected time to the first event or to the complete response. */
        val expectedMillis: Double,
        /** Prompt tokens that the server has to read; those in its cache are not counted. */
        val uncachedTokens: Double,
        /** The values that led to the decision, for the log. */
        val inputs: String = "",
        /** Prompt tokens that are expected in the cache of the server. */
        val heldTokens: Double = 0.0,
    ) : DispatchEffect

    /** Reject the request as not executed; the client may retry after [retryAfterMillis]. */
    data class Refuse(
        override val requestId: Long,
        val reason: DispatchRefusal,
        val retryAfterMillis: Long,
        /** The values that led to the decision, for the log. */
        val inputs: String = "",
        /** True if returns are spread already, so that [retryAfterMillis] must not be changed. */
        val isPaced: Boolean = false,
    ) : DispatchEffect
}

/** Reason why the [Dispatcher] rejects a request. */
enum class DispatchRefusal {
    /** No backend server of the service is known, or all of them were already tried. */
    NO_SERVER,
    /** The expected queueing delay uses too much of the remaining deadline. */
    OVERLOAD,
    /** No slot became available before the deadline. */
    EXPIRED,
    /** All servers of the service have asked for a pause that ends too late for the request. */
    PAUSED,
    /** A part of the prompt, or the request as a whole, crashes the servers that answer it. */
    QUARANTINED,
    /** All servers that are left are in failure domains that the operator evacuates. */
    EVACUATED,
    /** No server that is left is in a region in which the request may run. */
    NO_ALLOWED_REGION,
    /** The request, or a part of its prompt, may have crashed the server that it lost. */
    SUSPECTED,
}

/** The load that one instance places on one server, as reported to its peers. */
data class ServerUse(val inFlight: Int, val pendingTokens: Double)

/** Identifies the queue of one service and priority. */
data class QueueKey(val service: String, val priority: Int)

/** State of one queue of an instance. The head is the request that gets the next slot. */
data class QueueState(
    val count: Int,
    val headWaitMillis: Long,
    /** True when the target time of the head has passed. */
    val isHeadLate: Boolean,
)

/** What an instance reports to its peers. */
data class LoadReport(
    val servers: Map<String, ServerUse>,
    val waiting: Map<QueueKey, QueueState>,
    /** Null if nothing about crashes of servers has to be reported now. */
    val quarantine: QuarantineReport? = null,
    val rateLimits: List<RateLimitReport> = emptyList(),
    /** The servers to which prompt parts were sent lately. */
    val promptHolders: List<PromptHolderReport> = emptyList(),
    /** The newest loads that servers have stated to the reporting instance. */
    val statedLoads: List<StatedLoadReport> = emptyList(),
    val workspaceUses: Map<WorkspaceKey, WorkspaceUse> = emptyMap(),
    /** Cold servers and the requests that the reporting instance has sent to them. */
    val coldLimits: List<RateLimitReport> = emptyList(),
    /** Failure domain of the sender; empty if it does not state it. */
    val failureDomain: String = "",
    val domainLoads: List<DomainLoadReport> = emptyList(),
)
