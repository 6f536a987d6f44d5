package io.lavenderhinge.core.settings

/** A rollout starts from the active version of its target. */
internal object RolloutStartsFromActiveVersion : CrossCheck {
    override fun faults(settings: TeamSettings, document: SettingsDocument): List<SettingsFault> =
        settings.rollouts.mapNotNull { rollout ->
            val active = settings.targets.firstOrNull { it.target == rollout.target }?.version
            if (active == null || active == rollout.fromVersion) return@mapNotNull null
            document
                .named("rollout", rollout.name)
                .fault(
                    FaultKind.CONTRADICTION,
                    TeamSchema.from,
                    "is not in force; version $active is",
                    "write from = $active, or remove the rollout when it is done",
                )
        }
}
