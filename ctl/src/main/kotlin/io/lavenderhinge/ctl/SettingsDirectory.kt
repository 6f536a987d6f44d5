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

/** Settings file of one team. */
data class TeamFile(val team: String, val fileName: String, val text: String)

/** A directory with one `<team>.ini` per team. */
class SettingsDirectory(private val directory: Path) {
    /** Reads all `.ini` files, sorted by name. */
    fun readFiles(): List<TeamFile> =
        directory
            .listDirectoryEntries("*.ini")
            .sortedBy { it.name }
            .map { TeamFile(it.nameWithoutExtension, it.name, it.readText()) }

    /**
     * The revision of each team from which its file was saved. `apply` uses it to detect a change
     * that another operator made while the file was being edited.
     */
    fun baseRevisions(): Map<String, Long> {
        val file = directory.resolve(BASE_REVISIONS_FILE)
        if (!file.exists()) return emptyMap()
        return runCatching { Json.mapper.readValue<Map<String, Long>>(file.readText()) }
            .getOrDefault(emptyMap())
    }

    /** Records [revisions] as the base of their teams' files; other teams keep theirs. */
    fun saveBaseRevisions(revisions: Map<String, Long>) {
        val all = baseRevisions() + revisions
        directory
            .resolve(BASE_REVISIONS_FILE)
            .writeText(Json.mapper.writeValueAsString(all.toSortedMap()))
    }

    fun writeFile(team: String, text: String) = directory.resolve("$team.ini").writeText(text)

    companion object {
        const val BASE_REVISIONS_FILE = ".lavenderhinge-base.json"

        /** Returns all faults of [files], including conflicts between teams. */
        fun validate(files: List<TeamFile>): List<SettingsFault> {
            val faults = mutableListOf<SettingsFault>()
            val teams = mutableListOf<TeamSettings>()
            files.forEach { file ->
                SettingsParser.parse(file.team, 1, file.text, file.fileName)
                    .fold({ faults += it }, { teams += it })
            }
            return faults + CrossTeamCheck.faults(teams) { "$it.ini" }
        }
    }
}
