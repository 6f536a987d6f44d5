package io.lavenderhinge.core.settings

/** A target has at most one rollout, so that its traffic is split between two versions only. */
internal object RolloutTargetIsUnique : CrossCheck {
    override fun faults(settings: TeamSettings, document: SettingsDocument): List<SettingsFault> =
        settings.rollouts.mapIndexedNotNull { index, rollout ->
            val earlier = settings.rollouts.take(index).firstOrNull { it.target == rollout.target }
            earlier?.let {
                document
                    .named("rollout", rollout.name)
                    .fault(
                        FaultKind.NOT_UNIQUE,
                        TeamSchema.rolloutTarget,
                        "is also the target of [rollout.${it.name}]",
                        "keep one of the two rollouts",
                    )
            }
        }
}
