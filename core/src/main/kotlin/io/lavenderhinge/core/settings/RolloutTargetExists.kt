package io.lavenderhinge.core.settings

/** The target of a rollout has a section of its own. */
internal object RolloutTargetExists : CrossCheck {
    override fun faults(settings: TeamSettings, document: SettingsDocument): List<SettingsFault> =
        settings.rollouts
            .filter { !document.hasTarget(it.target) }
            .map {
                document
                    .named("rollout", it.name)
                    .fault(
                        FaultKind.UNKNOWN_REFERENCE,
                        TeamSchema.rolloutTarget,
                        "names no section of this team",
                        "add that section or correct the name",
                    )
            }
}
