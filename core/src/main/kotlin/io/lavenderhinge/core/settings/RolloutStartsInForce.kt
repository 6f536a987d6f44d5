package io.lavenderhinge.core.settings

/** A rollout starts from the version that its target has in force. */
internal object RolloutStartsInForce : CrossCheck {
    override fun faults(settings: TeamSettings, document: SettingsDocument): List<SettingsFault> =
        settings.rollouts.mapNotNull { rollout ->
            val inForce = settings.targets.firstOrNull { it.target == rollout.target }?.version
            if (inForce == null || inForce == rollout.fromVersion) return@mapNotNull null
            document
                .named("rollout", rollout.name)
                .fault(
                    FaultKind.CONTRADICTION,
                    TeamSchema.from,
                    "is not in force; version $inForce is",
                    "write from = $inForce, or remove the rollout when it is done",
                )
        }
}
