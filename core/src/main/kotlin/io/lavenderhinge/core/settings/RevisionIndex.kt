package io.lavenderhinge.core.settings

import io.lavenderhinge.core.membership.RendezvousHash

/** Hashes over the revisions of all teams, updated incrementally. */
internal class RevisionIndex {
    private val hashes = MutableList(BUCKETS) { 0uL }

    /** Hash over all teams; equal on instances that hold the same revisions. */
    var rootHash = 0uL
        private set

    /** Hash of each bucket; 0 for an empty one. */
    fun buckets(): List<ULong> = hashes.toList()

    /** Replaces the revisions of [team]. */
    fun replace(team: String, before: TeamRevisions?, after: TeamRevisions) {
        // XOR is its own inverse: it removes the old entry and adds the new one, at two hashes a
        // change.
        val change = (before?.let { entry(team, it) } ?: 0uL) xor entry(team, after)
        hashes[bucketOf(team)] = hashes[bucketOf(team)] xor change
        rootHash = rootHash xor change
    }

    companion object {
        /** With 4,800 teams a bucket holds 75, so that each level of a digest is about 1 KB. */
        const val BUCKETS = 64

        fun bucketOf(team: String): Int = (RendezvousHash.hash64(team) % BUCKETS.toUInt()).toInt()

        private fun entry(team: String, revisions: TeamRevisions): ULong =
            RendezvousHash.hash64("$team@${revisions.active}/${revisions.rejected}")
    }
}
