package io.lavenderhinge.core.rollout

/**
 * Grow-only set of the stop flags known to an instance. Merging is idempotent and commutative; the
 * first known evidence of a rollout is kept.
 */
class StopFlags {
    private val flagsByRollout = LinkedHashMap<String, StopFlag>()

    /** All known flags. */
    val all: List<StopFlag>
        get() = flagsByRollout.values.toList()

    /** Adds [flags] and returns the new ones. */
    fun merge(flags: Collection<StopFlag>): List<StopFlag> =
        flags.filter { flagsByRollout.putIfAbsent(it.rolloutId, it) == null }

    /** The flag of [rolloutId], or null if the rollout is not stopped. */
    fun find(rolloutId: String): StopFlag? = flagsByRollout[rolloutId]
}
