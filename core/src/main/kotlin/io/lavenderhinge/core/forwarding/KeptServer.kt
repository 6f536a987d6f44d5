package io.lavenderhinge.core.forwarding

/**
 * A server that an instance still uses although the store does not list it, because its entry may
 * have lapsed in an outage.
 */
data class KeptServer(
    val entry: ServerEntry,
    /** Time after which the server counts as gone unless it has written its entry again. */
    val remainingMillis: Long,
)
