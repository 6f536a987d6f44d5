package io.lavenderhinge.core.forwarding

/**
 * Estimates how often backend servers write their entries, from the observed writes.
 *
 * Times are milliseconds on the monotonic clock.
 */
internal class HeartbeatInterval {
    private val writtenMillis = HashMap<String, Long>()

    /** Mean time between two writes of a server; null until one has written twice. */
    var millis: Double? = null
        private set

    /** Records a write of [serverId]. */
    fun onWritten(serverId: String, nowMillis: Long) {
        val previousMillis = writtenMillis.put(serverId, nowMillis) ?: return
        val observedMillis = (nowMillis - previousMillis).toDouble()
        val meanMillis = millis
        // A longer gap is a missed write or a pause of this instance.
        millis =
            if (meanMillis == null) observedMillis
            else
                meanMillis +
                    (observedMillis.coerceAtMost(MAX_FACTOR * meanMillis) - meanMillis) * WEIGHT
    }

    /** Skips the time until the next writes, some of which may not be seen. */
    fun onInterrupted() = writtenMillis.clear()

    /** Forgets [serverId], which has left. */
    fun onRemoved(serverId: String) {
        writtenMillis.remove(serverId)
    }

    private companion object {
        const val WEIGHT = 0.05
        const val MAX_FACTOR = 2.0
    }
}
