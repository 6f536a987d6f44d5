package io.lavenderhinge.core.limit

/** Time integral of the load of a backend server, used to compute averages over any interval. */
class LoadIntegral {
    private var sequences = 0
    private var contextTokens = 0L
    private var atMillis = 0L
    private var sequenceMillis = 0.0
    private var tokenMillis = 0.0

    /** Value of the integral at [atMillis]. */
    data class Snapshot(val atMillis: Long, val sequenceMillis: Double, val tokenMillis: Double)

    /** Sets the load from [nowMillis] on. */
    fun set(newSequences: Int, newContextTokens: Long, nowMillis: Long) {
        advance(nowMillis)
        sequences = newSequences
        contextTokens = newContextTokens
    }

    /** Returns the integral up to [nowMillis]. */
    fun snapshot(nowMillis: Long): Snapshot {
        advance(nowMillis)
        return Snapshot(atMillis, sequenceMillis, tokenMillis)
    }

    /** Average number of sequences since [start], which must be before [nowMillis]. */
    fun meanSequences(start: Snapshot, nowMillis: Long): Double =
        (snapshot(nowMillis).sequenceMillis - start.sequenceMillis) /
            elapsedMillis(start, nowMillis)

    /** Average number of context tokens since [start], which must be before [nowMillis]. */
    fun meanContextTokens(start: Snapshot, nowMillis: Long): Double =
        (snapshot(nowMillis).tokenMillis - start.tokenMillis) / elapsedMillis(start, nowMillis)

    private fun elapsedMillis(start: Snapshot, nowMillis: Long) =
        (nowMillis - start.atMillis).coerceAtLeast(1).toDouble()

    private fun advance(nowMillis: Long) {
        val elapsed = (nowMillis - atMillis).coerceAtLeast(0)
        sequenceMillis += sequences.toDouble() * elapsed
        tokenMillis += contextTokens.toDouble() * elapsed
        atMillis = maxOf(atMillis, nowMillis)
    }
}
