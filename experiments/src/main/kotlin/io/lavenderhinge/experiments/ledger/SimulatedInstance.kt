package io.lavenderhinge.experiments.ledger

import io.lavenderhinge.core.ledger.LedgerEffect
import io.lavenderhinge.core.ledger.LedgerEvent
import io.lavenderhinge.core.ledger.LedgerLimits
import io.lavenderhinge.core.ledger.LedgerNode
import kotlin.random.Random

/** One process of an instance: its ledger, its clock error and its view of membership. */
class SimulatedInstance(
    val id: String,
    limits: LedgerLimits,
    random: Random,
    private val time: VirtualTime,
    private val clockErrorMillis: Long,
    var live: List<String>,
    private val execute: (SimulatedInstance, LedgerEffect) -> Unit,
) {
    private val node = LedgerNode(id, limits, random) { live }
    private val delayed = ArrayList<LedgerEvent>()
    private var wakeAtMillis = Long.MAX_VALUE

    var isDead = false
        private set

    var isPaused = false
        private set

    val loadedRecordCount: Int
        get() = node.loadedRecordCount

    fun nowMillis(): Long = time.nowMicros / 1000 + clockErrorMillis

    fun handle(event: LedgerEvent) {
        if (isDead) return
        if (isPaused) {
            delayed += event
            return
        }
        node.handle(event, nowMillis()).forEach { execute(this, it) }
        scheduleWake()
    }

    /** The process ends: its memory is gone, its messages and store calls on the way are not. */
    fun kill() {
        isDead = true
        delayed.clear()
    }

    fun pause() {
        isPaused = true
    }

    fun resume() {
        isPaused = false
        val events = delayed.toList()
        delayed.clear()
        events.forEach(::handle)
        handle(LedgerEvent.Wake)
    }

    private fun scheduleWake() {
        val next = node.nextWakeMillis
        if (next == Long.MAX_VALUE || next >= wakeAtMillis) return
        wakeAtMillis = next
        time.after((next - nowMillis()) * 1000) {
            if (wakeAtMillis == next) {
                wakeAtMillis = Long.MAX_VALUE
                handle(LedgerEvent.Wake)
            }
        }
    }
}
