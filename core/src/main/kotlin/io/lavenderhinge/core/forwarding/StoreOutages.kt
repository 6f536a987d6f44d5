package io.lavenderhinge.core.forwarding

/**
 * Judges whether the store was unavailable for so long that entries of live servers may have
 * lapsed.
 *
 * An answer of the store to a peer counts like one to this instance, because servers can write
 * their entries while the store serves anyone. An instance that alone is cut off from the store
 * thus learns that there was no outage. One that also hears no peer, as in a failure domain that is
 * cut off, cannot tell, and the servers around it may have been cut off as well.
 *
 * Times are milliseconds on the monotonic clock. Not thread-safe: all calls must come from one
 * thread.
 */
internal class StoreOutages(
    /** Time without an answer after which entries may have lapsed; 0 if it is not known yet. */
    private val lapseMillis: () -> Long
) {
    private var lastAnswerMillis: Long? = null
    private var servedSinceMillis: Long? = null
    /** First answer after a possible outage, until an own answer shows whether it was one. */
    private var possibleEndMillis: Long? = null
    private var hasCallFailed = false

    /** End of the last outage; null if there was none. */
    var endedMillis: Long? = null
        private set

    /** Records a failed call of this instance. */
    fun onFailedCall() {
        hasCallFailed = true
    }

    /** Records that the store answered a peer at [answeredMillis]. */
    fun onPeerAnswer(answeredMillis: Long) = record(answeredMillis)

    /**
     * Records that the store answered this instance and returns true if that ends an outage. A
     * store that answers late, without a failed call, was not out.
     */
    fun onAnswer(nowMillis: Long): Boolean {
        record(nowMillis)
        val endMillis = possibleEndMillis.takeIf { hasCallFailed }
        possibleEndMillis = null
        hasCallFailed = false
        if (endMillis != null) onEnded(endMillis)
        return endMillis != null
    }

    /** Records that an outage ended at [millis], which something other than a call has shown. */
    fun onEnded(millis: Long) {
        endedMillis = millis
        servedSinceMillis = millis
    }

    /** Returns true if the store is known to have served without an outage from [millis] on. */
    fun isServedSince(millis: Long, nowMillis: Long): Boolean {
        val answerMillis = lastAnswerMillis ?: return false
        if (nowMillis - answerMillis >= lapseMillis()) return false
        val sinceMillis = possibleEndMillis ?: servedSinceMillis ?: return false
        return sinceMillis <= millis
    }

    private fun record(answeredMillis: Long) {
        val previousMillis = lastAnswerMillis
        if (previousMillis == null || answeredMillis - previousMillis >= lapseMillis()) {
            possibleEndMillis = answeredMillis
        }
        if (servedSinceMillis == null) servedSinceMillis = answeredMillis
        lastAnswerMillis = maxOf(answeredMillis, previousMillis ?: answeredMillis)
    }
}
