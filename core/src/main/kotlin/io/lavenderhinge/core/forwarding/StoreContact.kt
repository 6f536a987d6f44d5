package io.lavenderhinge.core.forwarding

/**
 * Decides whether the store delivers changes to this instance.
 *
 * The store is lost if it turns this instance away, if peers know newer state for longer than a
 * working watch takes, or if it has not answered within [staleAfterMillis]. A single failed call
 * shows nothing, since the store may cut a watch at any time. Its next answer ends the loss.
 *
 * Times are milliseconds on the monotonic clock. Updates must come from one thread; [isLost] can be
 * called from any.
 */
class StoreContact(private val staleAfterMillis: Long) {
    @Volatile private var lostFromMillis = Long.MIN_VALUE
    private var failedCalls = 0

    /** Records an answer of the store. */
    fun onAnswer(nowMillis: Long) {
        failedCalls = 0
        lostFromMillis = nowMillis + staleAfterMillis
    }

    /** Records a call that failed. */
    fun onFailedCall(nowMillis: Long) {
        failedCalls++
        if (failedCalls >= MAX_FAILED_CALLS) onOvertaken(nowMillis)
    }

    /** Records that peers have known newer state for longer than a working watch takes. */
    fun onOvertaken(nowMillis: Long) {
        lostFromMillis = minOf(lostFromMillis, nowMillis)
    }

    /** Returns true if changes in the store may not reach this instance. */
    fun isLost(nowMillis: Long): Boolean = nowMillis >= lostFromMillis

    private companion object {
        /** A watch that was cut is followed by a read that succeeds. */
        const val MAX_FAILED_CALLS = 2
    }
}
