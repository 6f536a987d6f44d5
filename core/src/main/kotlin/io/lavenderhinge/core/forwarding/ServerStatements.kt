package io.lavenderhinge.core.forwarding

import io.lavenderhinge.core.LruMap
import io.lavenderhinge.core.ServerRun

/** Whether new requests may go to a server, by what the server itself has stated. */
internal sealed interface ServerAccess {
    /** The server takes requests. */
    data object Open : ServerAccess

    /** The server is leaving; it may get requests that no other server can take. */
    data object LastResort : ServerAccess

    /** The server gets no requests until [endMillis], or never again if it is null. */
    data class Closed(val endMillis: Long?) : ServerAccess
}

/**
 * What this instance knows of servers because their responses said so: that they are leaving, or
 * that they want a pause.
 *
 * Both bind this instance whatever the store and the peers say, and only until the server starts
 * again: a statement concerns one run. A leaving server may be used for [drainMillis] if its pool
 * has no other. After a pause, the slots of a server become usable gradually, since all requests
 * that have waited for it would overload it again. Not thread-safe. Times are milliseconds on the
 * monotonic clock.
 */
internal class ServerStatements(private val drainMillis: Long) {
    private val leavingSinceMillis = LruMap<ServerRun, Long>(MAX_RUNS)
    private val pauseEndMillis = LruMap<ServerRun, Long>(MAX_RUNS)

    /** True if no server has stated anything lately, as nearly always. */
    val isEmpty: Boolean
        get() = leavingSinceMillis.isEmpty() && pauseEndMillis.isEmpty()

    /** Called with each change, for the log. */
    var onChange: (ServerStatementChange) -> Unit = {}

    /** Records the statement of a response that [run] has given. */
    fun onStated(run: ServerRun, statement: ServerStatement, nowMillis: Long) {
        if (statement.isLeaving && leavingSinceMillis.putIfAbsent(run, nowMillis) == null) {
            onChange(ServerStatementChange.Leaving(run))
        }
        statement.pauseMillis?.let { onPause(run, it, nowMillis) }
    }

    // The latest end of several pauses holds.
    private fun onPause(run: ServerRun, pauseMillis: Long, nowMillis: Long) {
        val endMillis = nowMillis + pauseMillis
        val knownMillis = pauseEndMillis[run]
        if (knownMillis != null && knownMillis >= endMillis) return
        pauseEndMillis[run] = endMillis
        if (knownMillis == null || knownMillis <= nowMillis) {
            onChange(ServerStatementChange.Paused(run, pauseMillis))
        }
    }

    /** Returns whether a new request may go to [run] at [nowMillis]. */
    fun access(run: ServerRun, nowMillis: Long): ServerAccess {
        val endMillis = pauseEndMillis[run]
        val sinceMillis = leavingSinceMillis[run]
        return when {
            sinceMillis != null && nowMillis - sinceMillis >= drainMillis ->
                ServerAccess.Closed(null)
            endMillis != null && nowMillis < endMillis -> ServerAccess.Closed(endMillis)
            sinceMillis != null -> ServerAccess.LastResort
            else -> ServerAccess.Open
        }
    }

    /** Returns how many of the [slots] of [run] may be used after a pause, if it had one. */
    fun usableSlots(run: ServerRun, slots: Int, nowMillis: Long): Int {
        val endMillis = pauseEndMillis[run] ?: return slots
        val elapsedMillis = nowMillis - endMillis
        if (elapsedMillis >= RETURN_MILLIS) return slots
        return (slots * elapsedMillis / RETURN_MILLIS).toInt().coerceAtLeast(1)
    }

    private companion object {
        /** Bounds the memory; servers that have stated nothing lately are forgotten first. */
        const val MAX_RUNS = 1_024
        /** Time after a pause until all slots of the server are used again. */
        const val RETURN_MILLIS = 1_000L
    }
}
