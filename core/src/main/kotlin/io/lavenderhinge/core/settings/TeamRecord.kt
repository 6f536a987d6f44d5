package io.lavenderhinge.core.settings

/** The settings in force of one team and a later text that did not pass validation. */
internal data class TeamRecord(
    val active: TeamText? = null,
    val settings: TeamSettings? = null,
    val rejected: TeamText? = null,
) {
    val revisions: TeamRevisions
        get() = TeamRevisions(active?.revision ?: 0, rejected?.revision ?: 0)

    /** Highest revision judged so far. */
    val latestRevision: Long
        get() = maxOf(active?.revision ?: 0, rejected?.revision ?: 0)

    val texts: List<TeamText>
        get() = listOfNotNull(active, rejected)

    /** Texts that a peer with [theirs] lacks. */
    fun textsMissingAt(theirs: TeamRevisions): List<TeamText> {
        val latestTheirs = maxOf(theirs.active, theirs.rejected)
        // A peer of another release may have rejected what is in force here; it is not sent again.
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
