package io.lavenderhinge.core.settings

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.ImmutableSet

/**
 * Revisions that an instance holds of one team; 0 for none. [rejected] is a later revision whose
 * text did not pass validation.
 */
data class TeamRevisions(val active: Long, val rejected: Long)

/**
 * What a peer holds, in three levels, so that equal trees cost one hash a message.
 *
 * Thousands of teams would make a list of all revisions a thousand times larger than the hash.
 */
sealed interface SettingsDigest {
    /**
     * Hash of all revisions and the latest changes. [complete] is false while the sender is not
     * ready. [reply] marks the answer to a summary.
     */
    data class Summary(
        val rootHash: ULong,
        val complete: Boolean,
        val recent: ImmutableMap<String, Long>,
        val reply: Boolean,
    ) : SettingsDigest

    /** One hash for each bucket of teams, by bucket number. */
    data class Buckets(val hashes: ImmutableList<ULong>) : SettingsDigest

    /** All teams of [buckets]. */
    data class Details(
        val buckets: ImmutableSet<Int>,
        val revisions: ImmutableMap<String, TeamRevisions>,
    ) : SettingsDigest
}
