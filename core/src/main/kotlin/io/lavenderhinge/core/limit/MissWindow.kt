package io.lavenderhinge.core.limit

/** Result of comparing the miss rate of a full window with the allowed fraction. */
internal enum class MissVerdict {
    UNDECIDED,
    ABOVE,
    BELOW,
}

/** Compares the fraction of requests that miss a target with [missFraction], per window. */
internal class MissWindow(private val missFraction: Double) {
    private var count = 0
    private var misses = 0

    /** Adds one request. Returns [MissVerdict.UNDECIDED] until the window is full. */
    fun add(isMiss: Boolean): MissVerdict {
        count++
        if (isMiss) misses++
        if (count < WINDOW) return MissVerdict.UNDECIDED
        val verdict = verdict()
        count = 0
        misses = 0
        return verdict
    }

    private fun verdict(): MissVerdict =
        when {
            misses > WINDOW * missFraction -> MissVerdict.ABOVE
            misses <= WINDOW * missFraction / 2 -> MissVerdict.BELOW
            else -> MissVerdict.UNDECIDED
        }

    private companion object {
        /** Small enough to fill within seconds, large enough that 5% is more than one request. */
        const val WINDOW = 40
    }
}
