package io.lavenderhinge.core.settings

import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.toImmutableMap

/** The latest changes, sent with each summary so that a peer can request them immediately. */
internal class RecentChanges {
    private class Change(val revision: Long, val atMillis: Long)

    private val changes = LinkedHashMap<String, Change>()

    fun add(team: String, revision: Long, nowMillis: Long) {
        changes.remove(team)
        changes[team] = Change(revision, nowMillis)
        if (changes.size > LIMIT) changes.remove(changes.keys.first())
    }

    /** Returns the revisions, by team, that changed in the last [WINDOW_MILLIS]. */
    fun withinWindow(nowMillis: Long): ImmutableMap<String, Long> {
        changes.values.removeIf { nowMillis - it.atMillis > WINDOW_MILLIS }
        return changes.mapValues { it.value.revision }.toImmutableMap()
    }

    private companion object {
        // Gossip reaches a domain of 64 instances in about 6 s; this leaves a margin for lost
        // messages.
        const val WINDOW_MILLIS = 20_000L
        const val LIMIT = 16
    }
}
