package io.lavenderhinge.core.settings

/** Hash over the revisions of a tree, as instances state it in their domain's status. */
object TreeHash {
    /** Hash of a tree with [revisions] by team and no rejected text. */
    fun of(revisions: Map<String, Long>): ULong =
        RevisionIndex()
            .apply {
                revisions.forEach { (team, rev) -> replace(team, null, TeamRevisions(rev, 0)) }
            }
            .rootHash
}
