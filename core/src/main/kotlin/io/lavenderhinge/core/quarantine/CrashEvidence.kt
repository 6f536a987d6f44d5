package io.lavenderhinge.core.quarantine

import io.lavenderhinge.core.ServerRun

/** A run that ended with unanswered requests, and the prompt parts that may have caused it. */
internal class ServerCrash(val run: ServerRun, val service: String, val crashedMillis: Long) {
    /** Suspected parts with their positions in the prompt. */
    val suspects = LinkedHashMap<SuspectKey, Int>()

    /** Those of [suspects] that this instance had in flight itself. */
    val ownSuspects = LinkedHashSet<SuspectKey>()

    /** The quarantined part that explains the crash, if any. */
    var cause: SuspectKey? = null
}

/**
 * The crashes of the last [retentionMillis] and the parts suspected of them, at most [MAX_CRASHES]
 * crashes. Not thread-safe.
 */
internal class CrashEvidence(private val retentionMillis: Long) {
    private val byRun = LinkedHashMap<ServerRun, ServerCrash>()
    private val byPart = HashMap<SuspectKey, LinkedHashSet<ServerCrash>>()
    /**
     * Those suspected of several crashes; most are suspected of one, which they only took part in.
     */
    private val repeatedSuspects = LinkedHashSet<SuspectKey>()

    /** All crashes, oldest first. */
    val crashes: Collection<ServerCrash>
        get() = byRun.values

    operator fun get(run: ServerRun): ServerCrash? = byRun[run]

    /** Returns true if [part] is suspected of any crash. */
    fun isSuspected(part: SuspectKey): Boolean = part in byPart

    /** Returns the crash of [run], which is added if it is not known. */
    fun crashOf(run: ServerRun, service: String, crashedMillis: Long): ServerCrash {
        byRun[run]?.let {
            return it
        }
        if (byRun.size == MAX_CRASHES) remove(byRun.keys.first())
        return ServerCrash(run, service, crashedMillis).also { byRun[run] = it }
    }

    /** Adds [part] at [position] of a prompt to the suspects of [crash]. */
    fun suspect(crash: ServerCrash, part: SuspectKey, position: Int) {
        if (crash.suspects.size == MAX_SUSPECTS && part !in crash.suspects) return
        crash.suspects.merge(part, position, ::maxOf)
        val crashes = byPart.getOrPut(part, ::LinkedHashSet)
        crashes.add(crash)
        if (crashes.size > 1) repeatedSuspects += part
    }

    /**
     * Returns the crashes that [part] is suspected of and that no other quarantined part explains.
     * A request explains no crash against the parts that it consists of.
     */
    fun unexplained(part: SuspectKey): List<ServerCrash> =
        byPart[part].orEmpty().filter { crash ->
            val cause = crash.cause
            cause == null || cause.isRequest && !part.isRequest
        }

    /** Returns the number of crashes that [part] is suspected of and that have no cause at all. */
    fun countWithoutCause(part: SuspectKey): Int = byPart[part].orEmpty().count { it.cause == null }

    /** Attributes the unexplained crashes that [part] is suspected of to it. */
    fun explain(part: SuspectKey) = unexplained(part).forEach { it.cause = part }

    /** Withdraws the attributions to [part]. */
    fun withdraw(part: SuspectKey) =
        byRun.values.filter { it.cause == part }.forEach { it.cause = null }

    /**
     * Returns the part that is suspected of the most unexplained crashes, if at least [minCrashes]
     * of these happened before [beforeMillis] and one has no cause at all. Among equals it is the
     * one that comes later in its prompts: these are shared by fewer requests.
     */
    fun strongestSuspect(minCrashes: Int, beforeMillis: Long): SuspectKey? =
        repeatedSuspects
            .map { it to unexplained(it) }
            .filter { (_, crashes) ->
                crashes.count { it.crashedMillis <= beforeMillis } >= minCrashes &&
                    crashes.any { it.cause == null }
            }
            .maxWithOrNull(
                compareBy<Pair<SuspectKey, List<ServerCrash>>> { it.second.size }
                    .thenBy { (part, crashes) -> crashes.sumOf { it.suspects.getValue(part) } }
            )
            ?.first

    /** Clears [part] of all crashes before [beforeMillis]. */
    fun clear(part: SuspectKey, beforeMillis: Long) {
        val crashes = byPart[part] ?: return
        val cleared = crashes.filter { it.crashedMillis < beforeMillis }
        cleared.forEach { crash ->
            crash.suspects.remove(part)
            crash.ownSuspects.remove(part)
            if (crash.cause == part) crash.cause = null
            if (crash.suspects.isEmpty()) byRun.remove(crash.run)
        }
        crashes.removeAll(cleared.toSet())
        onCrashesRemoved(part, crashes)
    }

    /** Removes the crash of [run], which did not happen or no longer counts. */
    fun remove(run: ServerRun) {
        val crash = byRun.remove(run) ?: return
        crash.suspects.keys.forEach { part ->
            byPart[part]?.let { crashes ->
                crashes.remove(crash)
                onCrashesRemoved(part, crashes)
            }
        }
    }

    private fun onCrashesRemoved(part: SuspectKey, remaining: Set<ServerCrash>) {
        if (remaining.isEmpty()) byPart.remove(part)
        if (remaining.size <= 1) repeatedSuspects -= part
    }

    /** Removes the crashes that are too old to count. */
    fun expire(nowMillis: Long) =
        byRun.values
            .filter { nowMillis - it.crashedMillis > retentionMillis }
            .forEach { remove(it.run) }

    private companion object {
        const val MAX_CRASHES = 256
        const val MAX_SUSPECTS = 64
    }
}
