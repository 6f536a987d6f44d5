package io.lavenderhinge.core.forwarding

/** Counts the requests of a rollout that this instance sends, and measures their rate. */
internal class SentCounter {
    private class Sample(val atMillis: Long, val total: Long)

    private val samples = ArrayDeque<Sample>()

    /** The requests so far; the rate is that of the last call of [advance]. */
    var sent = SentRequests()
        private set

    /** Counts a request that was sent to the target version or to another one. */
    fun onSent(isTarget: Boolean) {
        sent = sent.copy(total = sent.total + 1, onTarget = sent.onTarget + if (isTarget) 1 else 0)
    }

    /** Measures the rate; call it several times in [RATE_WINDOW_MILLIS]. */
    fun advance(nowMillis: Long) {
        samples.addLast(Sample(nowMillis, sent.total))
        while (nowMillis - samples.first().atMillis > RATE_WINDOW_MILLIS) samples.removeFirst()
        val first = samples.first()
        val elapsedMillis = nowMillis - first.atMillis
        if (elapsedMillis <= 0) return
        sent = sent.copy(perSecond = (sent.total - first.total) * MILLIS_PER_SECOND / elapsedMillis)
    }

    private companion object {
        const val RATE_WINDOW_MILLIS = 1_000L
        const val MILLIS_PER_SECOND = 1_000.0
    }
}
