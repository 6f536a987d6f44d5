package io.lavenderhinge.core.settings

/** The team name in the text is the name under which the text is stored. */
internal object TeamNameMatches : CrossCheck {
    override fun faults(settings: TeamSettings, document: SettingsDocument): List<SettingsFault> =
        document
            .all("team")
            .filter {
                it.isSet(TeamSchema.teamName) && !it.hasValue(TeamSchema.teamName, settings.team)
            }
            .map {
                it.fault(
                    FaultKind.CONTRADICTION,
                    TeamSchema.teamName,
                    "does not match the file, which is for team ${settings.team}",
                    "write name = ${settings.team} or rename the file",
                )
            }
}
