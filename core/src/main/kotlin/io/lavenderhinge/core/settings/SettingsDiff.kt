package io.lavenderhinge.core.settings

/**
 * A changed key; [before] or [after] is null where the key is absent, and both are hidden for
 * credentials.
 */
data class KeyChange(val section: String, val key: String, val before: String?, val after: String?)

/** Compares two texts of a team by section and key. */
object SettingsDiff {
    private const val HIDDEN = "(hidden)"

    /** Returns the changes from [before] to [after], ignoring comments and order. */
    fun between(before: String, after: String): List<KeyChange> {
        val old = values(before)
        val new = values(after)
        return (old.keys + new.keys)
            .filter { old[it] != new[it] }
            .map { (section, key) ->
                change(section, key, old[section to key], new[section to key])
            }
    }

    private fun change(section: String, key: String, before: String?, after: String?) =
        if (key != TeamSchema.credential.name) KeyChange(section, key, before, after)
        else KeyChange(section, key, before?.let { HIDDEN }, after?.let { HIDDEN })

    private fun values(text: String): Map<Pair<String, String>, String> =
        IniParser.parse(text, file = "")
            .getOrNull()
            .orEmpty()
            .flatMap { section ->
                section.entries.map { (section.name to it.key) to it.values.joinToString() }
            }
            .toMap()
}
