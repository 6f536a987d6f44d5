package io.lavenderhinge.core.settings

import arrow.core.Either
import arrow.core.NonEmptyList
import arrow.core.getOrElse
import arrow.core.left
import arrow.core.nonEmptyListOf
import arrow.core.right
import arrow.core.toNonEmptyListOrNull

/** Parses the INI text of one team. */
object SettingsParser {
    /**
     * Returns the settings of [team] at [revision] in [text], or all its faults, which name [file].
     * An empty text represents a removed team.
     */
    fun parse(
        team: String,
        revision: Long,
        text: String,
        file: String = "config/$team",
    ): Either<NonEmptyList<SettingsFault>, TeamSettings> {
        if (text.isBlank()) return TeamSettings(team, revision).right()
        val sections =
            IniParser.parse(text, file).getOrElse {
                return nonEmptyListOf(it).left()
            }
        val document = SettingsDocument(file, sections, TeamSchema.sections)
        val settings = TeamReader(document).read(team, revision)
        val faults = document.faults + CrossChecks.faults(settings, document)
        return faults.toNonEmptyListOrNull()?.left() ?: settings.right()
    }
}
