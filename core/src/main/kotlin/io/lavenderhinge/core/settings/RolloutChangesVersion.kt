package io.lavenderhinge.core.settings

/** A rollout moves to a version other than the one it starts from. */
internal object RolloutChangesVersion : CrossCheck {
    override fun faults(settings: TeamSettings, document: SettingsDocument): List<SettingsFault> =
        settings.rollouts
            .filter { it.fromVersion == it.toVersion }
            .map {
                document
                    .named("rollout", it.name)
                    .fault(
                        FaultKind.CONTRADICTION,
                        TeamSchema.to,
                        "is the version that the rollout starts from",
                        "write the new version, or remove the rollout",
                    )
            }
}
