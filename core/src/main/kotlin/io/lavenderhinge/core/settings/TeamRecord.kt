package io.lavenderhinge.core.settings

/** The active settings of one team, and a later text that failed validation. */
internal data class TeamRecord(
    val active: TeamText? = null,
    val settings: TeamSettings? = null,
    val rejected: TeamText? = null,
) {
    val revisions: TeamRevisions
        get() = TeamRevisions(active?.revision ?: 0, rejected?.revision ?: 0)

    /** Highest revision validated so far. */
    val latestRevision: Long
        get() = maxOf(active?.revision ?: 0, rejected?.revision ?: 0)

    val texts: List<TeamText>
        get() = listOfNotNull(active, rejected)

    /** Returns the texts that a peer with [theirs] lacks. */
    fun textsMissingAt(theirs: TeamRevisions): List<TeamText> {
        val latestTheirs = maxOf(theirs.active, theirs.rejected)
        // A peer on another release may have rejected the text that is active here; do not resend
        // it.
        val ours = active?.takeIf { it.revision > theirs.active && it.revision != theirs.rejected }
        return listOfNotNull(ours, rejected?.takeIf { it.revision > latestTheirs })
    }

    /** True when a peer with [theirs] has a text that this record lacks. */
    fun isBehind(theirs: TeamRevisions): Boolean {
        val ours = revisions
        val newerActive = theirs.active > ours.active && theirs.active != ours.rejected
        return newerActive || theirs.rejected > latestRevision
    }
}
