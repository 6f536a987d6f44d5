package io.lavenderhinge.experiments.scheduler

import io.lavenderhinge.core.port.CacheEvent
import io.lavenderhinge.core.port.EngineFault
import io.lavenderhinge.core.port.ListedMember
import io.lavenderhinge.core.port.LoadReport
import kotlinx.collections.immutable.ImmutableList

/** Event at one entry instance. Durations are milliseconds of virtual time. */
sealed interface SchedulerEvent {
    /** The instance starts. Timers and [SchedulerEffect.WatchServers] are set in response. */
    data object Started : SchedulerEvent

    /** Delayed member list of the platform; delivered periodically, even if unchanged. */
    data class MembersListed(val members: ImmutableList<ListedMember>) : SchedulerEvent

    /** The load balancer delivers a request to this instance. */
    data class RequestArrived(val request: ScheduledRequest) : SchedulerEvent

    /** A message from [fromInstanceId]; messages arrive in the order in which they were sent. */
    data class MessageReceived(val fromInstanceId: String, val message: PeerMessage) :
        SchedulerEvent

    /** The link to [instanceId] failed: a crash, or a partition of a failure domain. */
    data class PeerLost(val instanceId: String) : SchedulerEvent

    /** The lost link to [instanceId] is usable again. */
    data class PeerRestored(val instanceId: String) : SchedulerEvent

    /** The timer [timerId] is due. */
    data class TimerFired(val timerId: String) : SchedulerEvent

    /** The first token arrived [firstTokenMillis] after the dispatch. */
    data class FirstToken(
        val requestId: String,
        val serverId: String,
        val firstTokenMillis: Long,
        val cachedPrefixTokens: Int,
    ) : SchedulerEvent

    /** The response is complete. [betweenTokensMillis] is the mean over the response. */
    data class Completed(
        val requestId: String,
        val serverId: String,
        val outputTokens: Int,
        val betweenTokensMillis: Double,
    ) : SchedulerEvent

    /**
     * A dispatch failed. After `NotSent` and `Refused` the scheduler still holds the request and
     * dispatches it again or refuses it. After `OutcomeUnknown` the request has ended.
     */
    data class Failed(val requestId: String, val serverId: String, val fault: EngineFault) :
        SchedulerEvent

    /** The stream stopped after [SchedulerEffect.Suspend] and takes no slot until resumed. */
    data class Suspended(val requestId: String, val serverId: String) : SchedulerEvent

    /** The caller closed its connection or its deadline passed. The request has ended. */
    data class CallerDisconnected(val requestId: String) : SchedulerEvent

    /** Delayed load report of a watched backend server. */
    data class LoadReported(val serverId: String, val report: LoadReport) : SchedulerEvent

    /** Delayed cache events of a watched backend server; a sequence gap means lost events. */
    data class CacheChanged(val serverId: String, val events: ImmutableList<CacheEvent>) :
        SchedulerEvent
}
