package io.lavenderhinge.ctl

import io.lavenderhinge.adapters.StoredSettingsCodec
import io.lavenderhinge.core.port.KeyValueStore
import io.lavenderhinge.core.port.StoreFault
import io.lavenderhinge.core.port.VersionedValue
import io.lavenderhinge.core.settings.StoredSettings

/** Stores the text of one team by compare-and-swap on what was read. */
class Applier(
    private val store: KeyValueStore,
    private val author: String,
    private val nowMillis: () -> Long,
) {
    private val history = History(store)

    /**
     * Stores [text] as the next revision of [team] if [read] is still what is stored. With
     * [baseRevision] the text must have been edited from that revision.
     */
    suspend fun apply(
        team: String,
        text: String,
        read: StoredTeam?,
        baseRevision: Long?,
    ): ApplyOutcome {
        if (read?.settings?.text == text) return ApplyOutcome.Unchanged(team)
        val revision = read?.settings?.revision ?: 0
        if (baseRevision != null && baseRevision != revision) {
            return edited(team, text, read, base(team, baseRevision))
        }
        val next = StoredSettings(revision + 1, author, nowMillis(), text)
        return write(team, next, read)
    }

    // A copy that nobody edited must not undo what another operator applied since.
    private fun edited(team: String, text: String, read: StoredTeam?, base: StoredSettings?) =
        if (read != null && base?.text == text) ApplyOutcome.Outdated(team, read.settings)
        else ApplyOutcome.Conflict(team, base, read?.settings)

    private suspend fun write(team: String, next: StoredSettings, read: StoredTeam?): ApplyOutcome {
        val key = StoredSettings.PREFIX + team
        val value = StoredSettingsCodec.encode(next)
        val expected = read?.version ?: 0
        repeat(ATTEMPTS) {
            val fault =
                store.compareAndSwap(key, expected, value).swap().getOrNull()
                    ?: return applied(team, next, read)
            when (fault) {
                is StoreFault.Conflict -> return conflict(team, next, read, fault.current)
                is StoreFault.OutcomeUnknown -> {
                    val current =
                        store
                            .get(key)
                            .fold(
                                {
                                    return ApplyOutcome.Unknown(team, it.message)
                                },
                                { it },
                            )
                    // An unchanged version means that the write has not landed; the same write
                    // with the same expected version can be repeated without harm.
                    val unchanged = (current?.version ?: 0) == expected
                    if (!unchanged) return conflict(team, next, read, current)
                }
                else -> return ApplyOutcome.Unreachable(team, fault.message)
            }
        }
        return ApplyOutcome.Unknown(team, "every answer was lost")
    }

    // What is stored may be this very write, whose answer was lost.
    private suspend fun conflict(
        team: String,
        next: StoredSettings,
        read: StoredTeam?,
        current: VersionedValue?,
    ): ApplyOutcome {
        val theirs = current?.let { StoredSettingsCodec.decode(it.value).getOrNull() }
        if (theirs == next) return applied(team, next, read)
        return ApplyOutcome.Conflict(team, read?.settings, theirs)
    }

    private suspend fun applied(team: String, next: StoredSettings, read: StoredTeam?) =
        ApplyOutcome.Applied(team, next, history.add(team, next, read?.settings))

    private suspend fun base(team: String, revision: Long): StoredSettings? =
        StoredTree(store).history(team).getOrNull()?.firstOrNull { it.revision == revision }

    private companion object {
        const val ATTEMPTS = 3
    }
}
