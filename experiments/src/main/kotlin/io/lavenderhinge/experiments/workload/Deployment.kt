package io.lavenderhinge.experiments.workload

import io.lavenderhinge.core.port.ListedMember
import io.lavenderhinge.core.port.MemberKind
import io.lavenderhinge.core.settings.Route
import io.lavenderhinge.core.settings.Target

/**
 * Traffic profile of one route. [shareFraction] is its fraction of all requests. A prompt is one of
 * [templateCount] templates shared within a workspace and route, followed by [uniqueTokens] that
 * are unique to the request. Plain services use only [serviceMillis]; models use the token lengths.
 */
data class RouteProfile(
    val route: Route,
    val shareFraction: Double,
    val templateCount: Int,
    val templateTokens: LengthDistribution,
    val uniqueTokens: LengthDistribution,
    val outputTokens: LengthDistribution,
    val serviceMillis: LengthDistribution,
)

/**
 * Traffic profile of one workspace. [shareFraction] is its fraction of all requests and [weight]
 * its fair-share weight within a tier.
 */
data class WorkspaceProfile(val id: String, val shareFraction: Double, val weight: Double)

/**
 * A fleet and its traffic. Network delays are one-way; [serviceConcurrency] applies to each replica
 * of a plain service.
 */
data class Deployment(
    val name: String,
    val members: List<ListedMember>,
    val workspaces: List<WorkspaceProfile>,
    val routes: List<RouteProfile>,
    val clientDelayMicros: Long,
    val intraDomainDelayMicros: Long,
    val crossDomainDelayMicros: Long,
    val crossRegionDelayMicros: Long,
    val serviceConcurrency: Int,
) {
    val instances: List<ListedMember>
        get() = members.filter { it.kind == MemberKind.INSTANCE }

    val engines: List<ListedMember>
        get() = members.filter { it.kind == MemberKind.MODEL_ENGINE }

    val backends: List<ListedMember>
        get() = members.filter { it.kind != MemberKind.INSTANCE }

    val failureDomains: List<String>
        get() = members.map { it.failureDomain }.distinct()

    fun delayMicros(from: ListedMember, to: ListedMember): Long =
        when {
            from.failureDomain == to.failureDomain -> intraDomainDelayMicros
            from.region == to.region -> crossDomainDelayMicros
            else -> crossRegionDelayMicros
        }
}

/** Returns whether [member] serves [target]. */
fun serves(member: ListedMember, target: Target): Boolean =
    member.serves == target.name &&
        when (target) {
            is Target.Model -> member.kind == MemberKind.MODEL_ENGINE
            is Target.Service -> member.kind == MemberKind.PLAIN_SERVICE
        }
