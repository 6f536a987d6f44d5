package io.lavenderhinge.core.forwarding

/** The cost that one request was charged; [QuotaLimiter.giveBack] returns it once at most. */
class QuotaCharge(
    internal val workspace: String,
    internal val cost: Double,
    internal val chargedMillis: Long,
) {
    private var isReturned = false

    /** Returns true for the first call alone. */
    internal fun tryReturn(): Boolean = !isReturned.also { isReturned = true }
}
