package io.lavenderhinge.core.rollout

import io.lavenderhinge.core.settings.RolloutSettings
import io.lavenderhinge.core.settings.Target

/** A target of one team. Target names are unique only within a team. */
data class TeamTarget(val team: String, val target: Target) {
    private val kind: String
        get() =
            when (target) {
                is Target.Model -> "model"
                is Target.Service -> "service"
            }

    /** Key of the controller's lease. One lease per target allows one rollout at a time. */
    val leaseKey: String
        get() = "rollout-lease/$team/$kind.${target.name}"
}

/** A rollout as declared in the current settings. */
data class RolloutPlan(
    val team: String,
    val name: String,
    val target: Target,
    val fromVersion: String,
    val toVersion: String,
    val deadlineMillis: Long,
    val unprovedShareFraction: Double,
) {
    /**
     * Identifies the rollout. The deadline and the unproved share may change while it is in
     * progress; a change of target or versions makes it a different rollout.
     */
    val rolloutId: String
        get() = "$team/$name/${target.name}/$fromVersion-$toVersion"

    /** Key of the stored record, which a new controller resumes from. */
    val recordKey: String
        get() = "rollout/$team/$name"

    /** Key of the status statement for operators. */
    val statusKey: String
        get() = "status/rollout/$team/$name"

    val teamTarget: TeamTarget
        get() = TeamTarget(team, target)

    companion object {
        /** Creates the plan that [settings] of [team] declare. */
        fun of(team: String, settings: RolloutSettings): RolloutPlan =
            RolloutPlan(
                team = team,
                name = settings.name,
                target = settings.target,
                fromVersion = settings.fromVersion,
                toVersion = settings.toVersion,
                deadlineMillis = settings.deadlineMillis,
                unprovedShareFraction = settings.unprovedShareFraction,
            )
    }
}
