package io.lavenderhinge.core.settings

/** A validation rule that spans several sections of one team. */
internal fun interface CrossCheck {
    /** Returns the faults of [settings]; [document] locates them for the messages. */
    fun faults(settings: TeamSettings, document: SettingsDocument): List<SettingsFault>
}

/** All rules that span sections, in the order in which their faults are reported. */
internal object CrossChecks {
    private val rules =
        listOf(
            TeamNameMatches,
            RouteHasOneTarget,
            RouteTargetExists,
            RouteIsUnique,
            ModelRouteIsIdempotent,
            RouteKeysMatchTarget,
            DeadlineCoversFirstToken,
            CredentialIsUnique,
            TargetNameIsUnique,
            RolloutTargetExists,
            RolloutStartsFromActiveVersion,
            RolloutChangesVersion,
            RolloutTargetIsUnique,
        )

    fun faults(settings: TeamSettings, document: SettingsDocument): List<SettingsFault> =
        rules.flatMap { it.faults(settings, document) }
}
