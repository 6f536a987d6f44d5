package io.lavenderhinge.core.quarantine

import io.lavenderhinge.core.ServerRun

/** A run that ended with unanswered requests, and the content of these that may have caused it. */
internal class ServerCrash(val run: ServerRun, val service: String, val crashedMillis: Long) {
    /**
     * Suspected content with its position in the request: the later, the fewer requests share it.
     */
    val suspects = LinkedHashMap<SuspectKey, Int>()

    /** Those of [suspects] that this instance had in flight itself. */
    val ownSuspects = LinkedHashSet<SuspectKey>()

    /** The quarantined content that explains the crash, if any. */
    var cause: SuspectKey? = null
}

/**
 * The crashes of the last [retentionMillis] and the content suspected of them, at most
 * [MAX_CRASHES] crashes. Not thread-safe.
 */
internal class CrashEvidence(private val retentionMillis: Long) {
    private val byRun = LinkedHashMap<ServerRun, ServerCrash>()
    private val bySuspect = HashMap<SuspectKey, LinkedHashSet<ServerCrash>>()
    /**
     * Those suspected of several crashes; most are suspected of one, which they only took part in.
     */
    private val repeatedSuspects = LinkedHashSet<SuspectKey>()

    /** All crashes, oldest first. */
    val crashes: Collection<ServerCrash>
        get() = byRun.values

    operator fun get(run: ServerRun): ServerCrash? = byRun[run]

    /** Returns true if [key] is suspected of any crash. */
    fun isSuspected(key: SuspectKey): Boolean = key in bySuspect

    /** Returns the crash of [run], which is added if it is not known. */
    fun crashOf(run: ServerRun, service: String, crashedMillis: Long): ServerCrash {
        byRun[run]?.let {
            return it
        }
        if (byRun.size == MAX_CRASHES) remove(byRun.keys.first())
        return ServerCrash(run, service, crashedMillis).also { byRun[run] = it }
    }

    /** Adds [key] at [position] of a prompt to the suspects of [crash]. */
    fun suspect(crash: ServerCrash, key: SuspectKey, position: Int) {
        if (crash.suspects.size == MAX_SUSPECTS && key !in crash.suspects) return
        crash.suspects.merge(key, position, ::maxOf)
        val crashes = bySuspect.getOrPut(key, ::LinkedHashSet)
        crashes.add(crash)
        if (crashes.size > 1) repeatedSuspects += key
    }

    /**
     * Returns the crashes that [key] is suspected of and that no other quarantined content
     * explains. A request explains no crash against the parts that it consists of.
     */
    fun unexplained(key: SuspectKey): List<ServerCrash> =
        bySuspect[key].orEmpty().filter { crash ->
            val cause = crash.cause
            cause == null || cause.isRequest && !key.isRequest
        }

    /** Returns the number of crashes that [key] is suspected of and that have no cause at all. */
    fun countWithoutCause(key: SuspectKey): Int =
        bySuspect[key].orEmpty().count { it.cause == null }

    /** Attributes the unexplained crashes that [key] is suspected of to it. */
    fun explain(key: SuspectKey) = unexplained(key).forEach { it.cause = key }

    /** Withdraws the attributions to [key]. */
    fun withdraw(key: SuspectKey) =
        byRun.values.filter { it.cause == key }.forEach { it.cause = null }

    /**
     * Returns what is suspected of the most unexplained crashes, if at least [minCrashes] of these
     * happened before [beforeMillis] and one has no cause at all. Among equals it is the one that
     * comes later in its prompts: these are shared by fewer requests.
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
                    .thenBy { (key, crashes) -> crashes.sumOf { it.suspects.getValue(key) } }
            )
            ?.first

    /** Clears [key] of all crashes before [beforeMillis]. */
    fun clear(key: SuspectKey, beforeMillis: Long) {
        val crashes = bySuspect[key] ?: return
        val cleared = crashes.filter { it.crashedMillis < beforeMillis }
        cleared.forEach { crash ->
            crash.suspects.remove(key)
            crash.ownSuspects.remove(key)
            if (crash.cause == key) crash.cause = null
            if (crash.suspects.isEmpty()) byRun.remove(crash.run)
        }
        crashes.removeAll(cleared.toSet())
        onCrashesRemoved(key, crashes)
    }

    /** Removes the crash of [run], which did not happen or no longer counts. */
    fun remove(run: ServerRun) {
        val crash = byRun.remove(run) ?: return
        crash.suspects.keys.forEach { key ->
            bySuspect[key]?.let { crashes ->
                crashes.remove(crash)
                onCrashesRemoved(key, crashes)
            }
        }
    }

    private fun onCrashesRemoved(key: SuspectKey, remaining: Set<ServerCrash>) {
        if (remaining.isEmpty()) bySuspect.remove(key)
        if (remaining.size <= 1) repeatedSuspects -= key
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
