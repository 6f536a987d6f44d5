package io.lavenderhinge.core.settings

/** Hash over the revisions of a tree, as published in the status of a failure domain. */
object TreeHash {
    /** Returns the hash of a tree with [revisions] by team and no rejected text. */
    fun of(revisions: Map<String, Long>): ULong =
        RevisionIndex()
            .apply {
                revisions.forEach { (team, rev) -> replace(team, null, TeamRevisions(rev, 0)) }
            }
            .rootHash
}
