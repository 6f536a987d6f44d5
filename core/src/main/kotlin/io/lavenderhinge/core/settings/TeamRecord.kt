package io.lavenderhinge.core.settings

/** The settings in force of one team and a later text that did not pass validation. */
internal data class TeamRecord(
    val inForce: TeamText? = null,
    val settings: TeamSettings? = null,
    val rejected: TeamText? = null,
) {
    val revisions: TeamRevisions
        get() = TeamRevisions(inForce?.revision ?: 0, rejected?.revision ?: 0)

    /** Highest revision judged so far. */
    val seenRevision: Long
        get() = maxOf(inForce?.revision ?: 0, rejected?.revision ?: 0)

    val texts: List<TeamText>
        get() = listOfNotNull(inForce, rejected)

    /** Texts that a peer with [theirs] lacks. */
    fun missingAt(theirs: TeamRevisions): List<TeamText> {
        val seenThere = maxOf(theirs.inForce, theirs.rejected)
        // A peer of another release may have rejected what is in force here; it is not sent again.
        val ours =
            inForce?.takeIf { it.revision > theirs.inForce && it.revision != theirs.rejected }
        return listOfNotNull(ours, rejected?.takeIf { it.revision > seenThere })
    }

    /** True when a peer with [theirs] has a text that this record lacks. */
    fun lacks(theirs: TeamRevisions): Boolean {
        val ours = revisions
        val newerInForce = theirs.inForce > ours.inForce && theirs.inForce != ours.rejected
        return newerInForce || theirs.rejected > seenRevision
    }
}
