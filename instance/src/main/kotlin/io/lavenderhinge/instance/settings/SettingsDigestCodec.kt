package io.lavenderhinge.instance.settings

import io.lavenderhinge.core.settings.SettingsDigest
import io.lavenderhinge.core.settings.TeamRevisions
import io.lavenderhinge.protocol.v1.RevisionEntry
import kotlinx.collections.immutable.toImmutableList
import kotlinx.collections.immutable.toImmutableMap
import kotlinx.collections.immutable.toImmutableSet

/**
 * Converts settings digests to and from the revision entries of a `Digest` message.
 *
 * Team names consist of letters, digits and dashes only, so an entry whose team is empty or begins
 * with another character carries a hash: empty or `~` the hash of a complete or incomplete tree,
 * `#n` that of bucket n. `?n` states that all teams of bucket n follow, and `!team` gives the
 * rejected revision of a team.
 */
internal object SettingsDigestCodec {
    private const val COMPLETE = ""
    private const val INCOMPLETE = "~"
    private const val BUCKET_HASH = "#"
    private const val DETAILED_BUCKET = "?"
    private const val REJECTED = "!"

    fun encode(digest: SettingsDigest): List<RevisionEntry> =
        when (digest) {
            is SettingsDigest.Summary -> {
                val root = if (digest.complete) COMPLETE else INCOMPLETE
                listOf(entry(root, digest.rootHash.toLong())) +
                    digest.recent.map { (team, revision) -> entry(team, revision) }
            }
            is SettingsDigest.Buckets ->
                digest.hashes.mapIndexed { index, hash ->
                    entry("$BUCKET_HASH$index", hash.toLong())
                }
            is SettingsDigest.Details ->
                digest.buckets.map { entry("$DETAILED_BUCKET$it", 0) } +
                    digest.revisions.flatMap { (team, held) -> revisionEntries(team, held) }
        }

    /** Returns null when [entries] contain no settings digest that this release supports. */
    fun decode(entries: List<RevisionEntry>, replyWanted: Boolean): SettingsDigest? {
        val root = entries.firstOrNull { it.team == COMPLETE || it.team == INCOMPLETE }
        val teamEntries = entries.filter { it.team.firstOrNull()?.isLetterOrDigit() == true }
        return when {
            root != null ->
                SettingsDigest.Summary(
                    root.revision.toULong(),
                    complete = root.team == COMPLETE,
                    teamEntries.associate { it.team to it.revision }.toImmutableMap(),
                    reply = !replyWanted,
                )
            entries.any { it.team.startsWith(DETAILED_BUCKET) } -> details(entries, teamEntries)
            entries.any { it.team.startsWith(BUCKET_HASH) } -> buckets(entries)
            else -> null
        }
    }

    private fun buckets(entries: List<RevisionEntry>): SettingsDigest {
        val hashes =
            entries.associate { it.team.removePrefix(BUCKET_HASH) to it.revision.toULong() }
        return SettingsDigest.Buckets(
            entries.indices.map { hashes["$it"] ?: 0uL }.toImmutableList()
        )
    }

    private fun details(
        entries: List<RevisionEntry>,
        teamEntries: List<RevisionEntry>,
    ): SettingsDigest {
        val buckets =
            entries
                .filter { it.team.startsWith(DETAILED_BUCKET) }
                .mapNotNull { it.team.removePrefix(DETAILED_BUCKET).toIntOrNull() }
        val active = teamEntries.associate { it.team to it.revision }
        val rejected =
            entries
                .filter { it.team.startsWith(REJECTED) }
                .associate { it.team.removePrefix(REJECTED) to it.revision }
        val revisions =
            (active.keys + rejected.keys).associateWith {
                TeamRevisions(active[it] ?: 0, rejected[it] ?: 0)
            }
        return SettingsDigest.Details(buckets.toImmutableSet(), revisions.toImmutableMap())
    }

    private fun revisionEntries(team: String, held: TeamRevisions): List<RevisionEntry> =
        listOfNotNull(
            entry(team, held.active).takeIf { held.active > 0 },
            entry("$REJECTED$team", held.rejected).takeIf { held.rejected > 0 },
        )

    private fun entry(team: String, revision: Long): RevisionEntry =
        RevisionEntry.newBuilder().setTeam(team).setRevision(revision).build()
}
