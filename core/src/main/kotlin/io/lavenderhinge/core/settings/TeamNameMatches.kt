package io.lavenderhinge.core.settings

/** The name in the text is the one under which the text is stored. */
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
                    "is not the team of this file, ${settings.team}",
                    "write name = ${settings.team} or rename the file",
                )
            }
}
