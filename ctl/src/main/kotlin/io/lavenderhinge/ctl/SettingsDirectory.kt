package io.lavenderhinge.ctl

import com.fasterxml.jackson.module.kotlin.readValue
import io.lavenderhinge.adapters.Json
import io.lavenderhinge.core.settings.CrossTeamCheck
import io.lavenderhinge.core.settings.SettingsFault
import io.lavenderhinge.core.settings.SettingsParser
import io.lavenderhinge.core.settings.TeamSettings
import java.nio.file.Path
import kotlin.io.path.exists
import kotlin.io.path.listDirectoryEntries
import kotlin.io.path.name
import kotlin.io.path.nameWithoutExtension
import kotlin.io.path.readText
import kotlin.io.path.writeText

/** The text of one team in a directory. */
data class TeamFile(val team: String, val file: String, val text: String)

/** A directory with one `<team>.ini` for each team. */
class SettingsDirectory(private val directory: Path) {
    /** The files in the order of their names. */
    fun files(): List<TeamFile> =
        directory
            .listDirectoryEntries("*.ini")
            .sortedBy { it.name }
            .map { TeamFile(it.nameWithoutExtension, it.name, it.readText()) }

    /**
     * Revisions by team that the files were saved from. With them `apply` finds a change that
     * another operator made while the files were being edited.
     */
    fun baseRevisions(): Map<String, Long> {
        val file = directory.resolve(BASE_FILE)
        if (!file.exists()) return emptyMap()
        return runCatching { Json.mapper.readValue<Map<String, Long>>(file.readText()) }
            .getOrDefault(emptyMap())
    }

    /** Notes that the files of the teams in [revisions] now have these revisions. */
    fun saveBase(revisions: Map<String, Long>) {
        val all = baseRevisions() + revisions
        directory.resolve(BASE_FILE).writeText(Json.mapper.writeValueAsString(all.toSortedMap()))
    }

    /** Writes the file of [team]. */
    fun write(team: String, text: String) = directory.resolve("$team.ini").writeText(text)

    companion object {
        const val BASE_FILE = ".lavenderhinge-base.json"

        /** All faults of [files], those between teams included. */
        fun faults(files: List<TeamFile>): List<SettingsFault> {
            val faults = mutableListOf<SettingsFault>()
            val teams = mutableListOf<TeamSettings>()
            files.forEach { file ->
                SettingsParser.parse(file.team, 1, file.text, file.file)
                    .fold({ faults += it }, { teams += it })
            }
            return faults + CrossTeamCheck.faults(teams) { "$it.ini" }
        }
    }
}
