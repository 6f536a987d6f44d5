package io.lavenderhinge.core.forwarding

import kotlinx.collections.immutable.PersistentSet

/** A request that asks for a slot of a backend server of [service]. Times are monotonic. */
data class DispatchRequest(
    val id: Long,
    val service: String,
    /** 0 is the most urgent. */
    val priority: Int,
    /** Prompt tokens; 0 for a request that is not for a model. */
    val promptTokens: Double,
    /** Expected events of the answer; 0 when it is no stream or nothing is known. */
    val expectedEvents: Double,
    val arrivedMillis: Long,
    /** The answer, or its first event, is on time until then. */
    val targetMillis: Long,
    /** The caller or the route gives up then. */
    val deadlineMillis: Long,
    /** Servers that have been tried for this request. */
    val excludedServers: PersistentSet<String>,
    /** True when the request tries the version that its service is being moved to. */
    val usesTargetVersion: Boolean = false,
)

/** What the shell does for a waiting request. */
sealed interface DispatchEffect {
    /** Id of the [DispatchRequest]. */
    val requestId: Long

    /** Send the request to [server]; report its end with [Dispatcher.onFinished]. */
    data class Assign(
        override val requestId: Long,
        val server: ServerEntry,
        /** Expected time to the first event or the answer. */
        val expectedMillis: Double,
    ) : DispatchEffect

    /** Answer that the request has not run and may come back after [retryAfterMillis]. */
    data class Refuse(
        override val requestId: Long,
        val reason: DispatchRefusal,
        val retryAfterMillis: Long,
    ) : DispatchEffect
}

/** Why a request is refused. */
enum class DispatchRefusal {
    /** No backend server of the service is known or left to try. */
    NO_SERVER,
    /** The queue is longer than the request can wait. */
    OVERLOAD,
    /** Its turn did not come in time. */
    EXPIRED,
}

/** What one instance uses of one server, as told to its peers. */
data class ServerUse(val inFlight: Int, val pendingTokens: Double)

/** Identifies a queue: a service and a priority. */
data class QueueKey(val service: String, val priority: Int)

/** A queue of an instance. The head is the request that gets the next slot. */
data class QueueState(
    val count: Int,
    val headWaitMillis: Long,
    /** True when the head can no longer be answered on time. */
    val isHeadLate: Boolean,
)

/** What an instance tells its peers about its use of the pool. */
data class LoadReport(val servers: Map<String, ServerUse>, val waiting: Map<QueueKey, QueueState>)
