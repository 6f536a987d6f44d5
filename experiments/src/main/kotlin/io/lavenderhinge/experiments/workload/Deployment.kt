package io.lavenderhinge.experiments.workload

import io.lavenderhinge.core.port.ListedMember
import io.lavenderhinge.core.port.MemberKind
import io.lavenderhinge.core.settings.Route
import io.lavenderhinge.core.settings.Target

/**
 * What arrives on one route. [shareFraction] is its share of all requests. A prompt is a template
 * shared by requests of the same workspace and route, one of [templateCount], followed by its own
 * text. [serviceMillis] is used by plain services and the other lengths, in tokens, by models.
 */
data class RouteProfile(
    val route: Route,
    val shareFraction: Double,
    val templateCount: Int,
    val templateTokens: LengthDistribution,
    val ownTokens: LengthDistribution,
    val outputTokens: LengthDistribution,
    val serviceMillis: LengthDistribution,
)

/** A customer: [shareFraction] of the requests, [weight] in the shares within a tier. */
data class WorkspaceProfile(val id: String, val shareFraction: Double, val weight: Double)

/**
 * A fleet and its traffic. One-way delays are in microseconds; [serviceConcurrency] is that of each
 * replica of a plain service.
 */
data class Deployment(
    val name: String,
    val members: List<ListedMember>,
    val workspaces: List<WorkspaceProfile>,
    val routes: List<RouteProfile>,
    val clientDelayMicros: Long,
    val domainDelayMicros: Long,
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
            from.failureDomain == to.failureDomain -> domainDelayMicros
            from.region == to.region -> crossDomainDelayMicros
            else -> crossRegionDelayMicros
        }
}

/** True when [member] serves [target]. */
fun serves(member: ListedMember, target: Target): Boolean =
    member.serves == target.name &&
        when (target) {
            is Target.Model -> member.kind == MemberKind.MODEL_ENGINE
            is Target.Service -> member.kind == MemberKind.PLAIN_SERVICE
        }
