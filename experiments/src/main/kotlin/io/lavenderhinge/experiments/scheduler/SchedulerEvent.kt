package io.lavenderhinge.experiments.scheduler

import io.lavenderhinge.core.port.CacheEvent
import io.lavenderhinge.core.port.EngineFault
import io.lavenderhinge.core.port.ListedMember
import io.lavenderhinge.core.port.LoadReport
import kotlinx.collections.immutable.ImmutableList

/** What happens at one entry instance. Durations are milliseconds of virtual time. */
sealed interface SchedulerEvent {
    /** The instance starts. Timers and [SchedulerEffect.WatchServers] are set in response. */
    data object Started : SchedulerEvent

    /** The platform's lagging list; delivered periodically, whether or not it has changed. */
    data class MembersListed(val members: ImmutableList<ListedMember>) : SchedulerEvent

    /** The load balancer delivers a request to this instance. */
    data class RequestArrived(val request: ScheduledRequest) : SchedulerEvent

    /** A message from the instance [fromInstanceId], in the order in which it was sent. */
    data class MessageReceived(val fromInstanceId: String, val message: PeerMessage) :
        SchedulerEvent

    /** The link to [instanceId] broke: it died, or its failure domain was cut off. */
    data class PeerLost(val instanceId: String) : SchedulerEvent

    /** The link to [instanceId], lost before, can be used again. */
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

    /** The answer is complete. [betweenTokensMillis] is the mean over the answer. */
    data class Completed(
        val requestId: String,
        val serverId: String,
        val outputTokens: Int,
        val betweenTokensMillis: Double,
    ) : SchedulerEvent

    /**
     * A dispatch failed. After `NotSent` and `Refused` the request is still with this scheduler,
     * which dispatches it again or refuses it. After `OutcomeUnknown` the request has ended.
     */
    data class Failed(val requestId: String, val serverId: String, val fault: EngineFault) :
        SchedulerEvent

    /** The stream stopped after [SchedulerEffect.Suspend] and takes no slot until resumed. */
    data class Suspended(val requestId: String, val serverId: String) : SchedulerEvent

    /** The caller closed its connection or its deadline passed. The request has ended. */
    data class CallerDisconnected(val requestId: String) : SchedulerEvent

    /** A late load report of a watched backend server. */
    data class LoadReported(val serverId: String, val report: LoadReport) : SchedulerEvent

    /** Late cache events of a watched backend server; a gap in the sequence is a lost event. */
    data class CacheChanged(val serverId: String, val events: ImmutableList<CacheEvent>) :
        SchedulerEvent
}
