package io.lavenderhinge.core.settings

import arrow.core.Either
import arrow.core.NonEmptyList
import arrow.core.left
import arrow.core.nonEmptyListOf
import arrow.core.right
import arrow.core.toNonEmptyListOrNull

/**
 * Parses the INI [text] of [file] with the schema [sections]. [build] reads values from the
 * document; a missing value is a fault, so a placeholder that [build] uses in its place is never
 * returned.
 */
internal fun <T> parseSettings(
    text: String,
    file: String,
    sections: List<SectionSchema>,
    build: (SettingsDocument) -> T,
): Either<NonEmptyList<SettingsFault>, T> =
    IniParser.parse(text, file)
        .fold(
            { fault -> nonEmptyListOf(fault).left() },
            { read ->
                val document = SettingsDocument(file, read, sections)
                val settings = build(document)
                document.faults.toNonEmptyListOrNull()?.left() ?: settings.right()
            },
        )
