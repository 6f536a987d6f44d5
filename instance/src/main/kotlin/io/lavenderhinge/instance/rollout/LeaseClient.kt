package io.lavenderhinge.instance.rollout

import arrow.core.Either
import io.lavenderhinge.core.port.KeyValueStore
import io.lavenderhinge.core.port.StoreFault
import io.lavenderhinge.core.rollout.ControllerEvent

/**
 * Acquires and renews the lease of one target. The lease key exists as long as its holder renews
 * the lease that it is attached to.
 *
 * The value contains the holder and the lease id, so that a holder recognizes its own key after a
 * lost answer.
 */
internal class LeaseClient(
    private val store: KeyValueStore,
    private val selfId: String,
    private val key: String,
    private val nowMillis: () -> Long,
) {
    private var grantedId: String? = null

    suspend fun acquire(): ControllerEvent {
        val sentAtMillis = nowMillis()
        return store
            .get(key)
            .fold(
                { ControllerEvent.LeaseCallFailed },
                { current ->
                    when (current?.value) {
                        null -> create(sentAtMillis)
                        leaseValue(grantedId) -> renew(grantedId.orEmpty())
                        else -> ControllerEvent.LeaseRefused
                    }
                },
            )
    }

    suspend fun renew(leaseId: String): ControllerEvent {
        val sentAtMillis = nowMillis()
        return when (val result = store.renewLease(leaseId)) {
            is Either.Right ->
                ControllerEvent.LeaseGranted(leaseId, sentAtMillis, result.value.timeToLiveMillis)
            is Either.Left ->
                if (result.value is StoreFault.Conflict) ControllerEvent.LeaseRefused
                else ControllerEvent.LeaseCallFailed
        }
    }

    private suspend fun create(sentAtMillis: Long): ControllerEvent {
        val lease =
            store.grantLease(TIME_TO_LIVE_MILLIS).getOrNull()
                ?: return ControllerEvent.LeaseCallFailed
        grantedId = lease.id
        return store
            .compareAndSwap(key, expectedVersion = 0, value = leaseValue(lease.id), lease.id)
            .fold(
                { fault ->
                    if (fault is StoreFault.Conflict) ControllerEvent.LeaseRefused
                    else ControllerEvent.LeaseCallFailed
                },
                { ControllerEvent.LeaseGranted(lease.id, sentAtMillis, lease.timeToLiveMillis) },
            )
    }

    private fun leaseValue(leaseId: String?) = "$selfId $leaseId"

    private companion object {
        const val TIME_TO_LIVE_MILLIS = 10_000L
    }
}
