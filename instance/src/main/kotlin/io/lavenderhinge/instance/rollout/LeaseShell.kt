package io.lavenderhinge.instance.rollout

import arrow.core.Either
import io.lavenderhinge.core.port.KeyValueStore
import io.lavenderhinge.core.port.StoreFault
import io.lavenderhinge.core.rollout.MoverEvent

/**
 * The lease of one target: a key that exists while its holder renews the lease behind it.
 *
 * The value names holder and lease, so that a holder recognises its own key after a lost answer.
 */
internal class LeaseShell(
    private val store: KeyValueStore,
    private val selfId: String,
    private val key: String,
    private val nowMillis: () -> Long,
) {
    private var grantedId: String? = null

    suspend fun claim(): MoverEvent {
        val sentAtMillis = nowMillis()
        return store
            .get(key)
            .fold(
                { MoverEvent.LeaseUnanswered },
                { current ->
                    when (current?.value) {
                        null -> create(sentAtMillis)
                        ownValue(grantedId) -> renew(grantedId.orEmpty())
                        else -> MoverEvent.LeaseRefused
                    }
                },
            )
    }

    suspend fun renew(leaseId: String): MoverEvent {
        val sentAtMillis = nowMillis()
        return when (val result = store.renewLease(leaseId)) {
            is Either.Right ->
                MoverEvent.LeaseHeld(leaseId, sentAtMillis, result.value.timeToLiveMillis)
            is Either.Left ->
                if (result.value is StoreFault.Conflict) MoverEvent.LeaseRefused
                else MoverEvent.LeaseUnanswered
        }
    }

    private suspend fun create(sentAtMillis: Long): MoverEvent {
        val lease =
            store.grantLease(TIME_TO_LIVE_MILLIS).getOrNull() ?: return MoverEvent.LeaseUnanswered
        grantedId = lease.id
        return store
            .compareAndSwap(key, expectedVersion = 0, value = ownValue(lease.id), lease.id)
            .fold(
                { fault ->
                    if (fault is StoreFault.Conflict) MoverEvent.LeaseRefused
                    else MoverEvent.LeaseUnanswered
                },
                { MoverEvent.LeaseHeld(lease.id, sentAtMillis, lease.timeToLiveMillis) },
            )
    }

    private fun ownValue(leaseId: String?) = "$selfId $leaseId"

    private companion object {
        const val TIME_TO_LIVE_MILLIS = 10_000L
    }
}
