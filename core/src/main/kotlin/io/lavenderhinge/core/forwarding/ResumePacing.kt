package io.lavenderhinge.core.forwarding

/**
 * Paces the tries to find a server that goes on with a stream that has begun.
 *
 * Such a stream is resumed as long as its time lasts, since the client has no other way to get the
 * rest. The first servers are tried at once. If these turn it away, the pool is probably full, and
 * there is a pause before each further try.
 */
class ResumePacing {
    private var refusalCount = 0

    /** Records that a server has turned the stream away; returns the pause before the next try. */
    fun onRefused(): Long = if (++refusalCount <= REFUSALS_AT_ONCE) 0 else INTERVAL_MILLIS

    /** Records that a server has taken the stream, though it may have broken off since. */
    fun onTaken() {
        refusalCount = 0
    }

    /** Values that do not depend on the state. */
    companion object {
        private const val REFUSALS_AT_ONCE = 3
        /** Time until a server that could not take the stream is asked again. */
        const val INTERVAL_MILLIS = 200L
    }
}
