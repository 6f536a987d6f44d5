package io.lavenderhinge.experiments.engine

import io.lavenderhinge.experiments.time.MICROS_PER_MILLI

/** How a bad version misbehaves. */
enum class VersionFaultKind {
    /** The stream ends with an error in place of the first token. */
    FAIL,

    /** Tokens come three times as slowly. */
    SLOW,
}

/**
 * A fault of a version. It shows from [fromMillis] of virtual time, in batches of at least
 * [minSequences] sequences, and on [route] only when that is given.
 */
data class VersionFault(
    val kind: VersionFaultKind,
    val fromMillis: Long = 0,
    val minSequences: Int = 0,
    val route: String? = null,
) {
    /** True when a request of [requestRoute] is affected at [nowMicros]. */
    fun affects(nowMicros: Long, sequences: Int, requestRoute: String): Boolean =
        nowMicros >= fromMillis * MICROS_PER_MILLI &&
            sequences >= minSequences &&
            (route == null || route == requestRoute)
}
