package io.lavenderhinge.experiments.scheduler

/** Message between instances. The simulation uses only its size. */
interface PeerMessage {
    /** Size on the wire, counted against the control-plane budget. */
    val sizeBytes: Int
}

/** Action requested by the scheduler of one instance. */
sealed interface SchedulerEffect {
    /**
     * Sends [message] with the delay of the link; a message to an unreachable peer is silently
     * dropped. A message to the sending instance arrives without delay and is not counted as
     * control traffic.
     */
    data class Send(val toInstanceId: String, val message: PeerMessage) : SchedulerEffect

    /** Sets or replaces the timer [timerId]; a time in the past fires at once. */
    data class SetTimer(val timerId: String, val atMillis: Long) : SchedulerEffect

    /** Removes the timer [timerId]; unknown ids are ignored. */
    data class CancelTimer(val timerId: String) : SchedulerEffect

    /**
     * Replaces the sets of backend servers whose load reports, and whose cache events, are
     * delivered. Each delivery counts as a control message.
     */
    data class WatchServers(
        val serverIds: Set<String>,
        val cacheServerIds: Set<String> = serverIds,
    ) : SchedulerEffect

    /** Opens a stream to [serverId] for a request that arrived at this instance. */
    data class Dispatch(val requestId: String, val serverId: String) : SchedulerEffect

    /**
     * Suspends a request in service; the engine frees its slot and keeps the generated tokens.
     * Ignored when the stream has ended, and by plain services.
     */
    data class Suspend(val requestId: String) : SchedulerEffect

    /** Resumes a suspended request on the engine where it was suspended. */
    data class Resume(val requestId: String) : SchedulerEffect

    /** Cancels a request in service and ends it; the caller receives [reason]. */
    data class Cancel(val requestId: String, val reason: ShedReason) : SchedulerEffect

    /** Ends a request that has not been accepted by any backend server. */
    data class Refuse(val requestId: String, val reason: ShedReason) : SchedulerEffect
}

/** Why a request was shed. */
enum class ShedReason {
    QUEUE_FULL,
    DEADLINE,
    DISPLACED,
    TIER_CLOSED,
    PREEMPTED,
    SERVER_LEAVING,
    SERVER_DOWN,
    RETRY_BUDGET,
    SHUTDOWN,
}
