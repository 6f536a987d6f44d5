package io.lavenderhinge.ctl

import arrow.core.getOrElse
import io.lavenderhinge.adapters.StoredSettingsCodec
import io.lavenderhinge.core.port.KeyValueStore
import io.lavenderhinge.core.port.StoreFault
import io.lavenderhinge.core.port.VersionedValue
import io.lavenderhinge.core.settings.StoredSettings

/** Stores the settings of a team with a compare-and-swap on the version that was read. */
class Applier(
    private val store: KeyValueStore,
    private val author: String,
    private val nowMillis: () -> Long,
) {
    private val history = RevisionHistory(store)

    /**
     * Stores [text] as the next revision of [team] if [stored] is still the current value. If
     * [baseRevision] is given, [text] must have been edited from that revision, and the change is
     * applied only if it is the current one.
     */
    suspend fun apply(
        team: String,
        text: String,
        stored: StoredTeam?,
        baseRevision: Long?,
    ): ApplyOutcome {
        if (stored?.settings?.text == text) return ApplyOutcome.Unchanged(team)
        val revision = stored?.settings?.revision ?: 0
        if (baseRevision != null && baseRevision != revision) {
            return staleBaseOutcome(team, text, stored, findBase(team, baseRevision))
        }
        val next = StoredSettings(revision + 1, author, nowMillis(), text)
        return write(team, next, stored)
    }

    // An unedited copy of an older revision must not revert what another operator applied since.
    private fun staleBaseOutcome(
        team: String,
        text: String,
        stored: StoredTeam?,
        base: StoredSettings?,
    ) =
        if (stored != null && base?.text == text) ApplyOutcome.Outdated(team, stored.settings)
        else ApplyOutcome.Conflict(team, base, stored?.settings)

    private suspend fun write(
        team: String,
        next: StoredSettings,
        stored: StoredTeam?,
    ): ApplyOutcome {
        val key = StoredSettings.PREFIX + team
        val value = StoredSettingsCodec.encode(next)
        val expected = stored?.version ?: 0
        repeat(MAX_ATTEMPTS) {
            val fault =
                store.compareAndSwap(key, expected, value).swap().getOrNull()
                    ?: return recordApplied(team, next, stored)
            when (fault) {
                is StoreFault.Conflict -> return resolveConflict(team, next, stored, fault.current)
                is StoreFault.OutcomeUnknown -> {
                    val current =
                        store.get(key).getOrElse {
                            return ApplyOutcome.Unknown(team, it.message)
                        }
                    // An unchanged version means that the write has not taken effect. Repeating it
                    // is safe, because the expected version lets only one attempt succeed.
                    val unchanged = (current?.version ?: 0) == expected
                    if (!unchanged) return resolveConflict(team, next, stored, current)
                }
                else -> return ApplyOutcome.Unreachable(team, fault.message)
            }
        }
        return ApplyOutcome.Unknown(team, "the response to every attempt was lost")
    }

    // The stored value may be this write itself, if its response was lost.
    private suspend fun resolveConflict(
        team: String,
        next: StoredSettings,
        stored: StoredTeam?,
        current: VersionedValue?,
    ): ApplyOutcome {
        val theirs = current?.let { StoredSettingsCodec.decode(it.value).getOrNull() }
        if (theirs == next) return recordApplied(team, next, stored)
        return ApplyOutcome.Conflict(team, stored?.settings, theirs)
    }

    private suspend fun recordApplied(team: String, next: StoredSettings, stored: StoredTeam?) =
        ApplyOutcome.Applied(team, next, history.add(team, next, stored?.settings))

    private suspend fun findBase(team: String, revision: Long): StoredSettings? =
        StoredSettingsReader(store).readHistory(team).getOrNull()?.firstOrNull {
            it.revision == revision
        }

    private companion object {
        const val MAX_ATTEMPTS = 3
    }
}
