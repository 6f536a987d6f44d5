package io.lavenderhinge.core

/**
 * Priority class of a request, taken from the settings of its route and never from the caller.
 *
 * A request of a higher tier is never shed while a request of a lower tier is still served.
 */
enum class Tier {
    INTERACTIVE,
    STANDARD,
    BATCH;

    /** True when requests of this tier are served before those of [other]. */
    fun outranks(other: Tier): Boolean = ordinal < other.ordinal
}
