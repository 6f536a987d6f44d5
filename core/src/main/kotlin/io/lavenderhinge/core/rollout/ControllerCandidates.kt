package io.lavenderhinge.core.rollout

/** Selects the instances that may become the controller of a target, by rendezvous hashing. */
object ControllerCandidates {
    /** One candidate is a standby that takes over when the lease of a failed controller expires. */
    private const val MAX_CANDIDATES = 2

    /** Returns true if [instanceId] is a candidate among [liveInstances]. */
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
