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
                        "refers to a section that does not exist",
                        "add that section or correct the name",
                    )
            }
}
