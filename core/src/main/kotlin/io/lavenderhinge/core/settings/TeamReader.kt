package io.lavenderhinge.core.settings

import io.lavenderhinge.core.Tier
import kotlinx.collections.immutable.toImmutableList

/** Builds [TeamSettings] from a document, omitting sections with faults. */
internal class TeamReader(private val document: SettingsDocument) {
    fun read(team: String, revision: Long): TeamSettings {
        document.single("team").value(TeamSchema.teamName)
        return TeamSettings(
            team,
            revision,
            document.all("workspace").mapNotNull(::workspace).toImmutableList(),
            targets().toImmutableList(),
            document.all("route").mapNotNull(::route).toImmutableList(),
            document.all("rollout").mapNotNull(::rollout).toImmutableList(),
        )
    }

    private fun workspace(section: SectionReader): Workspace? {
        val weight = section.value(TeamSchema.weight)
        val credential = section.value(TeamSchema.credential)
        if (weight == null || credential == null) return null
        return Workspace(section.name, weight, credential)
    }

    private fun targets(): List<TargetSettings> =
        document.all("model").mapNotNull { target(it, Target.Model(it.name)) } +
            document.all("service").mapNotNull { target(it, Target.Service(it.name)) }

    private fun target(section: SectionReader, target: Target): TargetSettings? =
        section.value(TeamSchema.targetVersion)?.let { TargetSettings(target, it) }

    private fun route(section: SectionReader): Route? {
        val path = section.value(TeamSchema.path)
        val target = routeTarget(section)
        // Every key is read before any early return, so that all faults are reported at once.
        val route =
            Route(
                section.name,
                path.orEmpty(),
                target ?: Target.Service(""),
                section.value(TeamSchema.tier) ?: Tier.STANDARD,
                section.value(TeamSchema.idempotent) ?: true,
                section.value(TeamSchema.deadline) ?: 0,
                section.value(TeamSchema.firstToken) ?: 0,
                section.value(TeamSchema.betweenTokens) ?: 0,
                section.value(TeamSchema.retention) ?: 0,
                section.value(TeamSchema.untimedKeys) ?: UntimedKeys.REFUSE,
            )
        return route.takeIf { path != null && target != null }
    }

    private fun routeTarget(section: SectionReader): Target? {
        val model = section.value(TeamSchema.model)
        val service = section.value(TeamSchema.service)
        return when {
            model != null && service != null -> null
            model != null -> Target.Model(model)
            service != null -> Target.Service(service)
            else -> null
        }
    }

    private fun rollout(section: SectionReader): RolloutSettings? {
        val target = section.value(TeamSchema.rolloutTarget)
        val from = section.value(TeamSchema.from)
        val to = section.value(TeamSchema.to)
        val deadlineMillis = section.value(TeamSchema.rolloutDeadline)
        val share = section.value(TeamSchema.unprovedShare)
        if (target == null || from == null || to == null) return null
        if (deadlineMillis == null || share == null) return null
        return RolloutSettings(section.name, target, from, to, deadlineMillis, share)
    }
}
