package io.lavenderhinge.core.settings

/** Value of `config/<team>`: the text of a team as an operator applied it. */
data class StoredSettings(
    val revision: Long,
    val author: String,
    val appliedAtMillis: Long,
    val text: String,
) {
    companion object {
        /** Prefix of the keys that hold the teams' settings. */
        const val PREFIX = "config/"
    }
}

/** The text of [team] at [revision], as exchanged between instances. */
data class TeamText(val team: String, val revision: Long, val text: String)
