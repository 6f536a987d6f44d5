package io.lavenderhinge.core.settings

/** A rule over several sections of one team. */
internal fun interface CrossCheck {
    /** Faults of [settings]; [document] gives the places for the messages. */
    fun faults(settings: TeamSettings, document: SettingsDocument): List<SettingsFault>
}

/** All rules over several sections, in the order in which their faults are shown. */
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
