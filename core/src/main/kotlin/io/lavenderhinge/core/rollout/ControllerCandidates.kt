package io.lavenderhinge.core.rollout

/** The instances that may become the mover of a target, by rendezvous hashing. */
object ControllerCandidates {
    /** One spare, so that a mover that dies unnoticed is replaced when its lease lapses. */
    private const val MAX_CANDIDATES = 2

    /** True when [instanceId] is a candidate among [liveInstances]. */
    fun isCandidate(
        instanceId: String,
        liveInstances: Collection<String>,
        target: TeamTarget,
    ): Boolean {
        val own = rank(instanceId, target)
        return liveInstances.count { it != instanceId && rank(it, target) > own } < MAX_CANDIDATES
    }

    private fun rank(instanceId: String, target: TeamTarget): Long =
        Hashing.hash64("${target.leaseKey} $instanceId")
}
