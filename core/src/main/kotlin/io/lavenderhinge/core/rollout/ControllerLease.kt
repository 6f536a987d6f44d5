package io.lavenderhinge.core.rollout

/**
 * The controller's view of its lease.
 *
 * The lease counts from the time the call was sent and ends [SAFETY_MARGIN_MILLIS] early, so that a
 * controller that was paused stops before another instance gets the lease. Correctness does not
 * depend on this, because records are written with compare-and-swap.
 */
internal class ControllerLease {
    private var leaseId: String? = null
    private var heldUntilMillis = 0L
    private var timeToLiveMillis = 0L
    private var nextCallMillis = 0L

    fun isHeld(nowMillis: Long): Boolean = leaseId != null && nowMillis < heldUntilMillis

    fun onGranted(event: ControllerEvent.LeaseGranted) {
        leaseId = event.leaseId
        timeToLiveMillis = event.timeToLiveMillis
        heldUntilMillis = event.sentAtMillis + event.timeToLiveMillis - SAFETY_MARGIN_MILLIS
        nextCallMillis = event.sentAtMillis + event.timeToLiveMillis / RENEWALS_PER_LEASE
    }

    /** Drops the lease and delays the next call by [RETRY_MILLIS]. */
    fun onLost(nowMillis: Long) {
        leaseId = null
        nextCallMillis = nowMillis + RETRY_MILLIS
    }

    /** The lease call that is due now, or null. */
    fun dueCall(nowMillis: Long, mayAcquire: Boolean): ControllerEffect? {
        if (nowMillis < nextCallMillis) return null
        val id = leaseId
        if (id != null && nowMillis >= heldUntilMillis) leaseId = null
        if (leaseId == null && !mayAcquire) return null
        nextCallMillis = nowMillis + RETRY_MILLIS
        return leaseId?.let { ControllerEffect.RenewLease(it) } ?: ControllerEffect.AcquireLease
    }

    companion object {
        /** Lifetime of a lease after its last renewal. */
        const val TIME_TO_LIVE_MILLIS = 10_000L
        private const val SAFETY_MARGIN_MILLIS = 1_000L
        private const val RENEWALS_PER_LEASE = 3
        private const val RETRY_MILLIS = 2_000L
    }
}
