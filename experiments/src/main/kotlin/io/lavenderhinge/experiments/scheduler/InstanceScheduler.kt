package io.lavenderhinge.experiments.scheduler

import io.lavenderhinge.core.port.ListedMember
import kotlin.random.Random
import kotlinx.collections.immutable.ImmutableList

/**
 * The scheduler under test on one entry instance: event and time in, effects out.
 *
 * The harness owns the requests, streams, delays and clock, and executes the effects in list order
 * at the time of the event. A call is made for one event at a time, in order of virtual time.
 * Nothing is shared between the schedulers of two instances: they interact by
 * [SchedulerEffect.Send] only.
 *
 * Life of a request: [SchedulerEvent.RequestArrived] at exactly one instance; then any number of
 * [SchedulerEffect.Dispatch], each answered by [SchedulerEvent.Failed] with `NotSent` or `Refused`,
 * until one is accepted by a backend server; then at most one [SchedulerEvent.FirstToken] and
 * exactly one of [SchedulerEvent.Completed], [SchedulerEvent.Failed] and
 * [SchedulerEvent.CallerDisconnected]. Instead of dispatching again, the scheduler may end the
 * request by [SchedulerEffect.Refuse].
 */
fun interface InstanceScheduler {
    /** Handles [event] at [nowMillis] of virtual time, which never decreases. */
    fun handle(event: SchedulerEvent, nowMillis: Long): List<SchedulerEffect>
}

/**
 * What a scheduler knows when its instance starts.
 *
 * [members] is the platform's list at that time, this instance included; later states arrive as
 * [SchedulerEvent.MembersListed]. [random] is seeded and belongs to this instance alone. Time is
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
