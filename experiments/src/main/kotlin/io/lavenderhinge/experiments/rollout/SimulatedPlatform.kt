package io.lavenderhinge.experiments.rollout

import io.lavenderhinge.core.rollout.ControllerEffect
import io.lavenderhinge.core.rollout.ControllerEvent
import io.lavenderhinge.core.rollout.StoredRecord

/**
 * Simulated key-value service that holds one record and one lease. It is unavailable during
 * [outageSeconds].
 */
class SimulatedPlatform(private val outageSeconds: LongRange?) {
    private var storedRecord: StoredRecord? = null
    private var leaseHolder: String? = null
    private var leaseExpiresAtMillis = 0L

    val records: List<StoredRecord>
        get() = listOfNotNull(storedRecord)

    fun isDown(nowMillis: Long): Boolean =
        outageSeconds != null && nowMillis / MILLIS_PER_SECOND in outageSeconds

    /**
     * Returns the response to a call of [instanceId], or null if [effect] is not a call to the
     * platform.
     */
    fun respond(instanceId: String, effect: ControllerEffect, nowMillis: Long): ControllerEvent? =
        when (effect) {
            is ControllerEffect.AcquireLease,
            is ControllerEffect.RenewLease -> acquireLease(instanceId, nowMillis)
            is ControllerEffect.ReadRecords ->
                if (isDown(nowMillis)) ControllerEvent.StoreUnavailable
                else ControllerEvent.RecordsRead(records)
            is ControllerEffect.WriteRecord -> writeRecord(effect, nowMillis)
            is ControllerEffect.CheckWeights -> ControllerEvent.WeightsChecked(effect.version, true)
            is ControllerEffect.OrderLoad ->
                ControllerEvent.VersionLoaded(effect.serverId, effect.version)
            is ControllerEffect.RaiseStopFlag,
            is ControllerEffect.PublishStatement -> null
        }

    private fun acquireLease(instanceId: String, nowMillis: Long): ControllerEvent {
        if (isDown(nowMillis)) return ControllerEvent.LeaseCallFailed
        if (leaseHolder != instanceId && nowMillis < leaseExpiresAtMillis)
            return ControllerEvent.LeaseRefused
        leaseHolder = instanceId
        leaseExpiresAtMillis = nowMillis + LEASE_MILLIS
        return ControllerEvent.LeaseGranted("lease-$instanceId", nowMillis, LEASE_MILLIS)
    }

    private fun writeRecord(
        effect: ControllerEffect.WriteRecord,
        nowMillis: Long,
    ): ControllerEvent {
        if (isDown(nowMillis)) return ControllerEvent.StoreUnavailable
        val version = storedRecord?.version ?: 0
        if (version != effect.expectedVersion) return ControllerEvent.WriteUnconfirmed
        storedRecord = StoredRecord(effect.record, version + 1)
        return ControllerEvent.RecordWritten(effect.record, version + 1)
    }

    private companion object {
        const val LEASE_MILLIS = 10_000L
        const val MILLIS_PER_SECOND = 1_000L
    }
}
