package io.lavenderhinge.experiments.engine

import io.lavenderhinge.experiments.time.MICROS_PER_MILLI

/** Effect of a faulty version. */
enum class VersionFaultKind {
    /** The stream fails instead of producing its first token. */
    FAIL,

    /** The time between tokens triples. */
    SLOW,
}

/**
 * Fault of an engine version. It affects requests from virtual time [fromMillis] on, in batches of
 * at least [minSequences] sequences, and only those of [route] if it is set.
 */
data class VersionFault(
    val kind: VersionFaultKind,
    val fromMillis: Long = 0,
    val minSequences: Int = 0,
    val route: String? = null,
) {
    /** Returns true if the fault affects a request of [requestRoute] at [nowMicros]. */
    fun affects(nowMicros: Long, sequences: Int, requestRoute: String): Boolean =
        nowMicros >= fromMillis * MICROS_PER_MILLI &&
            sequences >= minSequences &&
            (route == null || route == requestRoute)
}
