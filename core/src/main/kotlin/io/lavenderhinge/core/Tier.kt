package io.lavenderhinge.core

/**
 * Priority class of a request. It comes from the route settings, never from the caller.
 *
 * A request must not be shed while requests of a lower tier are still being served.
 */
enum class Tier {
    INTERACTIVE,
    STANDARD,
    BATCH;

    /** Returns true if requests of this tier are served before requests of [other]. */
    fun outranks(other: Tier): Boolean = ordinal < other.ordinal
}
