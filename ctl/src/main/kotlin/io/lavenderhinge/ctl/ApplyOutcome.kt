package io.lavenderhinge.ctl

import io.lavenderhinge.core.settings.StoredSettings

/** What became of the change of one team. */
sealed interface ApplyOutcome {
    val team: String

    /** [settings] are stored; [historyWritten] is false when only the history failed. */
    data class Applied(
        override val team: String,
        val settings: StoredSettings,
        val historyWritten: Boolean,
    ) : ApplyOutcome

    /** The stored text is the same already. */
    data class Unchanged(override val team: String) : ApplyOutcome

    /** The text is an old copy that was not edited; [stored] is newer and stays. */
    data class Outdated(override val team: String, val stored: StoredSettings) : ApplyOutcome

    /** Another operator stored [theirs] after [base]; nothing was written. */
    data class Conflict(
        override val team: String,
        val base: StoredSettings?,
        val theirs: StoredSettings?,
    ) : ApplyOutcome

    /** The service was away; nothing was written. */
    data class Unreachable(override val team: String, val message: String) : ApplyOutcome

    /** The answer was lost and the key could not be read back. */
    data class Unknown(override val team: String, val message: String) : ApplyOutcome
}
