package io.lavenderhinge.experiments.scheduler

import io.lavenderhinge.core.port.ListedMember
import kotlin.random.Random
import kotlinx.collections.immutable.ImmutableList

/**
 * Scheduler of one entry instance under test: maps an event and the time to effects.
 *
 * The simulation owns the requests, streams, delays and clock, and executes the effects in list
 * order at the time of the event. Events are handled one at a time, in order of virtual time.
 * Schedulers of different instances share no state and interact only by [SchedulerEffect.Send].
 *
 * Lifecycle of a request: [SchedulerEvent.RequestArrived] at exactly one instance; then any number
 * of [SchedulerEffect.Dispatch], each answered by [SchedulerEvent.Failed] with `NotSent` or
 * `Refused`, until one is accepted by a backend server; then at most one
 * [SchedulerEvent.FirstToken] and exactly one of [SchedulerEvent.Completed],
 * [SchedulerEvent.Failed] and [SchedulerEvent.CallerDisconnected]. Instead of dispatching again,
 * the scheduler may end the request by [SchedulerEffect.Refuse].
 */
fun interface InstanceScheduler {
    /** Handles [event] at [nowMillis] of virtual time, which never decreases. */
    fun handle(event: SchedulerEvent, nowMillis: Long): List<SchedulerEffect>
}

/**
 * Information available to a scheduler when its instance starts.
 *
 * [members] is the platform's list at that time, this instance included; later lists arrive as
 * [SchedulerEvent.MembersListed]. [random] is seeded and not shared with other instances. Time is
 * virtual milliseconds since the start of the experiment, [startMillis] when the instance starts.
 */
data class InstanceContext(
    val instanceId: String,
    val failureDomain: String,
    val region: String,
    val startMillis: Long,
    val members: ImmutableList<ListedMember>,
    val random: Random,
)

/** Creates the scheduler of one instance; called again when an instance restarts. */
fun interface SchedulerFactory {
    /** [SchedulerEvent.Started] follows at the same virtual time. */
    fun create(context: InstanceContext): InstanceScheduler
}
