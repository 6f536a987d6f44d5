package io.lavenderhinge.core.rollout

/**
 * The grow-only set of stop flags of one instance. Merging is idempotent and order does not matter;
 * the first evidence known for a rollout is kept. There is no way to remove a flag.
 */
class StopFlags {
    private val flagsByRollout = LinkedHashMap<String, StopFlag>()

    /** All flags known. */
    val all: List<StopFlag>
        get() = flagsByRollout.values.toList()

    /** Adds [flags] and returns those that were new. */
    fun merge(flags: Collection<StopFlag>): List<StopFlag> =
        flags.filter { flagsByRollout.putIfAbsent(it.rolloutId, it) == null }

    /** The flag of [rolloutId], or null when it is not stopped. */
    fun find(rolloutId: String): StopFlag? = flagsByRollout[rolloutId]
}
