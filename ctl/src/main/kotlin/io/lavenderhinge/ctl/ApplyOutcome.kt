package io.lavenderhinge.ctl

import io.lavenderhinge.core.settings.StoredSettings

/** Outcome of applying the settings of one team. */
sealed interface ApplyOutcome {
    val team: String

    /** [settings] were stored; [historyWritten] is false if only the history was not written. */
    data class Applied(
        override val team: String,
        val settings: StoredSettings,
        val historyWritten: Boolean,
    ) : ApplyOutcome

    /** The stored text is already identical. */
    data class Unchanged(override val team: String) : ApplyOutcome

    /** The text is an unedited copy of an older revision; the newer [stored] is kept. */
    data class Outdated(override val team: String, val stored: StoredSettings) : ApplyOutcome

    /** Another operator stored [theirs] after [base]; nothing was written. */
    data class Conflict(
        override val team: String,
        val base: StoredSettings?,
        val theirs: StoredSettings?,
    ) : ApplyOutcome

    /** The key-value service was unreachable; nothing was written. */
    data class Unreachable(override val team: String, val message: String) : ApplyOutcome

    /** The response was lost and the key could not be read back; the write may have succeeded. */
    data class Unknown(override val team: String, val message: String) : ApplyOutcome
}
