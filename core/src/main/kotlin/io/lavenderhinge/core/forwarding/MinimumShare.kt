package io.lavenderhinge.core.forwarding

/**
 * Guarantees each priority a small share of the slot time of a service.
 *
 * Under strict priorities, a pool that is overloaded by one kind of request for longer than their
 * deadlines serves no request of a less urgent kind at all, not even one that needs a slot only for
 * a moment. Slot time rather than requests is shared, so that the guarantee costs the more urgent
 * requests the same however long the others take.
 *
 * Each priority has an account in milliseconds of slot time: every start of a request credits all
 * accounts with their share of it and charges its own one. Not thread-safe: all calls must come
 * from one thread.
 */
internal class MinimumShare(
    /** Expected slot time of a request whose priority has no finished request yet. */
    private val unknownHoldMillis: () -> Double
) {
    private class Account {
        var balanceMillis = 0.0
        var meanHoldMillis = 0.0
    }

    private val accounts = HashMap<Int, Account>()

    /** Slot time as a fraction of all that each priority is guaranteed. */
    val fraction: Double
        get() = minOf(MAX_FRACTION, MAX_TOTAL_FRACTION / accounts.size.coerceAtLeast(1))

    /** Returns true if the share of [priority] has room for another request. */
    fun isOwed(priority: Int): Boolean =
        account(priority).balanceMillis >= minOf(holdMillis(priority), MAX_BALANCE_MILLIS)

    /** Returns how long a request of [priority] is expected to use its slot. */
    fun holdMillis(priority: Int): Double =
        account(priority).meanHoldMillis.takeIf { it > 0 } ?: unknownHoldMillis()

    /** Records that a request of [priority] gets a slot. */
    fun onStarted(priority: Int) {
        val holdMillis = holdMillis(priority)
        accounts.forEach { (other, account) ->
            val chargedMillis = if (other == priority) holdMillis else 0.0
            account.balanceMillis =
                (account.balanceMillis + holdMillis * fraction - chargedMillis).coerceIn(
                    -MAX_BALANCE_MILLIS,
                    MAX_BALANCE_MILLIS,
                )
        }
    }

    /** Records how long a request of [priority] used its slot. */
    fun onFinished(priority: Int, holdMillis: Double) {
        val account = account(priority)
        val weight = if (account.meanHoldMillis == 0.0) 1.0 else SAMPLE_WEIGHT
        account.meanHoldMillis += (holdMillis - account.meanHoldMillis) * weight
    }

    private fun account(priority: Int) = accounts.getOrPut(priority, ::Account)

    private companion object {
        const val MAX_FRACTION = 0.05
        /** Leaves nearly all slot time to the most urgent requests. */
        const val MAX_TOTAL_FRACTION = 0.15
        /** Bounds the burst of less urgent requests after a time in which none was sent. */
        const val MAX_BALANCE_MILLIS = 1_500.0
        const val SAMPLE_WEIGHT = 0.1
    }
}
