package io.lavenderhinge.experiments.cluster

import io.lavenderhinge.core.port.ListedMember
import io.lavenderhinge.experiments.workload.Deployment

/** Links between members: a constant delay, and failure domains that are cut off. */
class Network(private val deployment: Deployment) {
    private val memberById = deployment.members.associateBy { it.id }
    private val partitionedDomains = HashSet<String>()

    fun member(id: String): ListedMember =
        requireNotNull(memberById[id]) { "no member $id in deployment ${deployment.name}" }

    fun delayMicros(fromId: String, toId: String): Long =
        deployment.delayMicros(member(fromId), member(toId))

    fun isReachable(fromId: String, toId: String): Boolean {
        val from = member(fromId).failureDomain
        val to = member(toId).failureDomain
        return from == to || (from !in partitionedDomains && to !in partitionedDomains)
    }

    /** False when the domain of [memberId] is cut off, also from the platform. */
    fun reachesPlatform(memberId: String): Boolean =
        member(memberId).failureDomain !in partitionedDomains

    /** Separates [failureDomain] from all others. False when it was separated before. */
    fun partition(failureDomain: String): Boolean = partitionedDomains.add(failureDomain)

    /** Joins [failureDomain] again. False when it was not separated. */
    fun heal(failureDomain: String): Boolean = partitionedDomains.remove(failureDomain)
}
