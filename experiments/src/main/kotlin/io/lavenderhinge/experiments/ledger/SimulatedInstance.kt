package io.lavenderhinge.experiments.ledger

import io.lavenderhinge.core.ledger.LedgerEffect
import io.lavenderhinge.core.ledger.LedgerEvent
import io.lavenderhinge.core.ledger.LedgerLimits
import io.lavenderhinge.core.ledger.LedgerNode
import kotlin.random.Random

/** One process of an instance with its ledger node, clock error and membership view. */
class SimulatedInstance(
    val id: String,
    limits: LedgerLimits,
    random: Random,
    private val clock: VirtualClock,
    private val clockErrorMillis: Long,
    var liveInstances: List<String>,
    private val execute: (SimulatedInstance, LedgerEffect) -> Unit,
) {
    private val node = LedgerNode(id, limits, random) { liveInstances }
    private val deferredEvents = ArrayList<LedgerEvent>()
    private var scheduledWakeMillis = Long.MAX_VALUE

    var isDead = false
        private set

    var isPaused = false
        private set

    val loadedRecordCount: Int
        get() = node.loadedRecordCount

    fun nowMillis(): Long = clock.nowMicros / 1000 + clockErrorMillis

    fun handle(event: LedgerEvent) {
        if (isDead) return
        if (isPaused) {
            deferredEvents += event
            return
        }
        node.handle(event, nowMillis()).forEach { execute(this, it) }
        scheduleWake()
    }

    /** Ends the process. Its messages and store calls in transit still take effect. */
    fun kill() {
        isDead = true
        deferredEvents.clear()
    }

    fun pause() {
        isPaused = true
    }

    fun resume() {
        isPaused = false
        val events = deferredEvents.toList()
        deferredEvents.clear()
        events.forEach(::handle)
        handle(LedgerEvent.Wake)
    }

    private fun scheduleWake() {
        val next = node.nextWakeMillis
        if (next == Long.MAX_VALUE || next >= scheduledWakeMillis) return
        scheduledWakeMillis = next
        clock.scheduleAfter((next - nowMillis()) * 1000) {
            if (scheduledWakeMillis == next) {
                scheduledWakeMillis = Long.MAX_VALUE
                handle(LedgerEvent.Wake)
            }
        }
    }
}
