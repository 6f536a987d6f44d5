package io.lavenderhinge.ctl

import arrow.core.Either
import arrow.core.getOrElse
import arrow.core.left
import arrow.core.right
import io.lavenderhinge.adapters.StoredSettingsCodec
import io.lavenderhinge.core.port.KeyValueStore
import io.lavenderhinge.core.port.StoreFault
import io.lavenderhinge.core.settings.StoredSettings

/** The stored settings of a team and the version of their key. */
data class StoredTeam(val team: String, val settings: StoredSettings, val version: Long)

/** Why the stored settings could not be read. */
data class ReadFault(val message: String, val exitCode: ExitCode)

/** Reads the settings under `config/` and the histories under `history/`. */
class StoredSettingsReader(private val store: KeyValueStore) {
    /** Returns all teams by name; a removed team has an empty text. */
    suspend fun readTeams(): Either<ReadFault, Map<String, StoredTeam>> {
        val values =
            store.list(StoredSettings.PREFIX).getOrElse {
                return readFailed(it).left()
            }
        val teams = sortedMapOf<String, StoredTeam>()
        values.forEach { value ->
            val team = value.key.removePrefix(StoredSettings.PREFIX)
            val settings =
                StoredSettingsCodec.decode(value.value).getOrElse {
                    return invalidValue(value.key, it).left()
                }
            teams[team] = StoredTeam(team, settings, value.version)
        }
        return teams.right()
    }

    /** Returns the applied revisions of [team], newest first. */
    suspend fun readHistory(team: String): Either<ReadFault, List<StoredSettings>> =
        store
            .get(RevisionHistory.PREFIX + team)
            .fold(
                { readFailed(it).left() },
                { StoredSettingsCodec.decodeHistory(it?.value ?: "[]").right() },
            )

    private fun readFailed(fault: StoreFault) =
        ReadFault(
            "the key-value service could not be read: ${fault.message}; check --key-value",
            ExitCode.UNREACHABLE,
        )

    private fun invalidValue(key: String, reason: String) =
        ReadFault(
            "$key was not written by lavenderhingectl: $reason; repair the key",
            ExitCode.INVALID,
        )
}
