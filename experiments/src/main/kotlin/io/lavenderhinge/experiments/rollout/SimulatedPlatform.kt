package io.lavenderhinge.experiments.rollout

import io.lavenderhinge.core.rollout.ControllerEffect
import io.lavenderhinge.core.rollout.ControllerEvent
import io.lavenderhinge.core.rollout.StoredRecord

/** Key-value service with one record and one lease, and an outage in seconds. */
class SimulatedPlatform(private val outageSeconds: LongRange?) {
    private var stored: StoredRecord? = null
    private var holder: String? = null
    private var heldUntilMillis = 0L

    val records: List<StoredRecord>
        get() = listOfNotNull(stored)

    fun down(nowMillis: Long): Boolean =
        outageSeconds != null && nowMillis / MILLIS_PER_SECOND in outageSeconds

    /** The answer to [effect] of [instanceId]; null for effects that are not calls. */
    fun answer(instanceId: String, effect: ControllerEffect, nowMillis: Long): ControllerEvent? =
        when (effect) {
            is ControllerEffect.AcquireLease,
            is ControllerEffect.RenewLease -> lease(instanceId, nowMillis)
            is ControllerEffect.ReadRecords ->
                if (down(nowMillis)) ControllerEvent.StoreUnavailable
                else ControllerEvent.RecordsRead(records)
            is ControllerEffect.WriteRecord -> write(effect, nowMillis)
            is ControllerEffect.CheckWeights -> ControllerEvent.WeightsChecked(effect.version, true)
            is ControllerEffect.OrderLoad ->
                ControllerEvent.VersionLoaded(effect.serverId, effect.version)
            is ControllerEffect.RaiseStopFlag,
            is ControllerEffect.PublishStatement -> null
        }

    private fun lease(instanceId: String, nowMillis: Long): ControllerEvent {
        if (down(nowMillis)) return ControllerEvent.LeaseCallFailed
        if (holder != instanceId && nowMillis < heldUntilMillis) return ControllerEvent.LeaseRefused
        holder = instanceId
        heldUntilMillis = nowMillis + LEASE_MILLIS
        return ControllerEvent.LeaseGranted("lease-$instanceId", nowMillis, LEASE_MILLIS)
    }

    private fun write(effect: ControllerEffect.WriteRecord, nowMillis: Long): ControllerEvent {
        if (down(nowMillis)) return ControllerEvent.StoreUnavailable
        val version = stored?.version ?: 0
        if (version != effect.expectedVersion) return ControllerEvent.WriteUnconfirmed
        stored = StoredRecord(effect.record, version + 1)
        return ControllerEvent.RecordWritten(effect.record, version + 1)
    }

    private companion object {
        const val LEASE_MILLIS = 10_000L
        const val MILLIS_PER_SECOND = 1_000L
    }
}
