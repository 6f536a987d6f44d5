package io.lavenderhinge.experiments.rollout

import io.lavenderhinge.core.rollout.MoverEffect
import io.lavenderhinge.core.rollout.MoverEvent
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
    fun answer(instanceId: String, effect: MoverEffect, nowMillis: Long): MoverEvent? =
        when (effect) {
            is MoverEffect.ClaimLease,
            is MoverEffect.RenewLease -> lease(instanceId, nowMillis)
            is MoverEffect.ReadRecords ->
                if (down(nowMillis)) MoverEvent.StoreUnavailable
                else MoverEvent.RecordsRead(records)
            is MoverEffect.WriteRecord -> write(effect, nowMillis)
            is MoverEffect.CheckWeights -> MoverEvent.WeightsChecked(effect.version, true)
            is MoverEffect.OrderLoad -> MoverEvent.Loaded(effect.serverId, effect.version)
            is MoverEffect.RaiseStop,
            is MoverEffect.Publish -> null
        }

    private fun lease(instanceId: String, nowMillis: Long): MoverEvent {
        if (down(nowMillis)) return MoverEvent.LeaseUnanswered
        if (holder != instanceId && nowMillis < heldUntilMillis) return MoverEvent.LeaseRefused
        holder = instanceId
        heldUntilMillis = nowMillis + LEASE_MILLIS
        return MoverEvent.LeaseHeld("lease-$instanceId", nowMillis, LEASE_MILLIS)
    }

    private fun write(effect: MoverEffect.WriteRecord, nowMillis: Long): MoverEvent {
        if (down(nowMillis)) return MoverEvent.StoreUnavailable
        val version = stored?.version ?: 0
        if (version != effect.expectedVersion) return MoverEvent.WriteUndecided
        stored = StoredRecord(effect.record, version + 1)
        return MoverEvent.Written(effect.record, version + 1)
    }

    private companion object {
        const val LEASE_MILLIS = 10_000L
        const val MILLIS_PER_SECOND = 1_000L
    }
}
