package io.lavenderhinge.experiments.cluster

import io.lavenderhinge.experiments.scheduler.InstanceScheduler
import io.lavenderhinge.experiments.scheduler.SchedulerEffect
import io.lavenderhinge.experiments.scheduler.SchedulerEvent
import io.lavenderhinge.experiments.time.EventLoop
import io.lavenderhinge.experiments.time.MICROS_PER_MILLI
import io.lavenderhinge.experiments.time.ScheduledAction

/** Runs the scheduler of one entry instance and its timers; has no scheduler while down. */
class InstanceHost(
    val id: String,
    private val loop: EventLoop,
    private val execute: (InstanceHost, SchedulerEffect) -> Unit,
) {
    private val timers = HashMap<String, ScheduledAction>()
    private var scheduler: InstanceScheduler? = null

    var watchedServers: Set<String> = emptySet()
        private set

    var watchedCaches: Set<String> = emptySet()
        private set

    val isUp: Boolean
        get() = scheduler != null

    fun start(newScheduler: InstanceScheduler) {
        scheduler = newScheduler
        deliver(SchedulerEvent.Started)
    }

    fun stop() {
        scheduler = null
        watchedServers = emptySet()
        watchedCaches = emptySet()
        timers.values.forEach { it.cancel() }
        timers.clear()
    }

    /** Passes [event] to the scheduler and executes the effects; ignored while down. */
    fun deliver(event: SchedulerEvent) {
        val effects = scheduler?.handle(event, loop.nowMillis) ?: return
        effects.forEach { execute(this, it) }
    }

    fun watch(effect: SchedulerEffect.WatchServers) {
        watchedServers = effect.serverIds
        watchedCaches = effect.cacheServerIds
    }

    fun setTimer(timerId: String, atMillis: Long) {
        cancelTimer(timerId)
        timers[timerId] =
            loop.at(atMillis * MICROS_PER_MILLI) {
                timers.remove(timerId)
                deliver(SchedulerEvent.TimerFired(timerId))
            }
    }

    fun cancelTimer(timerId: String) {
        timers.remove(timerId)?.cancel()
    }
}
