package io.lavenderhinge.ctl

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.lavenderhinge.adapters.StoredSettingsCodec
import io.lavenderhinge.core.port.KeyValueStore
import io.lavenderhinge.core.port.StoreFault
import io.lavenderhinge.core.settings.StoredSettings

/** A stored team with the version of its key. */
data class StoredTeam(val team: String, val settings: StoredSettings, val version: Long)

/** Why the stored tree could not be read. */
data class TreeFault(val message: String, val exit: ExitCode)

/** Reads what is stored under `config/` and `history/`. */
class StoredTree(private val store: KeyValueStore) {
    /** All teams by name, removed ones with an empty text. */
    suspend fun read(): Either<TreeFault, Map<String, StoredTeam>> {
        val values =
            store
                .list(StoredSettings.PREFIX)
                .fold(
                    {
                        return unreachable(it).left()
                    },
                    { it },
                )
        val teams = sortedMapOf<String, StoredTeam>()
        values.forEach { value ->
            val team = value.key.removePrefix(StoredSettings.PREFIX)
            val settings =
                StoredSettingsCodec.decode(value.value)
                    .fold(
                        {
                            return unreadable(value.key, it).left()
                        },
                        { it },
                    )
            teams[team] = StoredTeam(team, settings, value.version)
        }
        return teams.right()
    }

    /** Applied revisions of [team], newest first. */
    suspend fun history(team: String): Either<TreeFault, List<StoredSettings>> =
        store
            .get(History.PREFIX + team)
            .fold(
                { unreachable(it).left() },
                { StoredSettingsCodec.decodeHistory(it?.value ?: "[]").right() },
            )

    private fun unreachable(fault: StoreFault) =
        TreeFault(
            "the key-value service could not be read: ${fault.message}; check --key-value",
            ExitCode.UNREACHABLE,
        )

    private fun unreadable(key: String, reason: String) =
        TreeFault("$key was not written by this tool: $reason; repair the key", ExitCode.INVALID)
}
