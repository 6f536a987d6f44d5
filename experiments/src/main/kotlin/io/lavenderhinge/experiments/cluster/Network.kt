package io.lavenderhinge.experiments.cluster

import io.lavenderhinge.core.port.ListedMember
import io.lavenderhinge.experiments.workload.Deployment

/** Links between members, with constant delays and partitions between failure domains. */
class Network(private val deployment: Deployment) {
    private val memberById = deployment.members.associateBy { it.id }
    private val partitionedDomains = HashSet<String>()

    fun member(id: String): ListedMember =
        requireNotNull(memberById[id]) { "deployment ${deployment.name} has no member $id" }

    fun delayMicros(fromId: String, toId: String): Long =
        deployment.delayMicros(member(fromId), member(toId))

    fun isReachable(fromId: String, toId: String): Boolean {
        val from = member(fromId).failureDomain
        val to = member(toId).failureDomain
        return from == to || (from !in partitionedDomains && to !in partitionedDomains)
    }

    /**
     * False while the failure domain of [memberId] is partitioned, which cuts off the platform too.
     */
    fun reachesPlatform(memberId: String): Boolean =
        member(memberId).failureDomain !in partitionedDomains

    /** Partitions [failureDomain] from all others. Returns false if it already was. */
    fun partition(failureDomain: String): Boolean = partitionedDomains.add(failureDomain)

    /** Ends the partition of [failureDomain]. Returns false if there was none. */
    fun heal(failureDomain: String): Boolean = partitionedDomains.remove(failureDomain)
}
