package io.lavenderhinge.core.settings

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.ImmutableSet

/**
 * Revisions of one team that an instance holds; 0 for none. [rejected] is a later revision whose
 * text failed validation.
 */
data class TeamRevisions(val active: Long, val rejected: Long)

/**
 * The revisions that a peer holds, at three levels of detail, so that equal trees cost one hash per
 * message.
 *
 * With thousands of teams, a list of all revisions would be a thousand times larger than the hash.
 */
sealed interface SettingsDigest {
    /**
     * Hash of all revisions and the latest changes. [complete] is false while the sender is not
     * ready. [reply] marks the reply to a summary.
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
