package io.lavenderhinge.instance.settings

/**
 * Value of `status/settings/<failure domain>`: the active settings as seen by the first relay of
 * the domain.
 *
 * [teams] is omitted above [TEAM_LIMIT] teams, where [treeHash] alone shows whether the domain is
 * up to date with `config/`. [agreeing] of the [instances] are known to hold the same revisions.
 */
data class SettingsStatus(
    val failureDomain: String,
    val atMillis: Long,
    val treeHash: String,
    val teams: Map<String, Long>?,
    val instances: Int,
    val agreeing: Int,
    val rejected: List<RejectedText>,
) {
    companion object {
        const val PREFIX = "status/settings/"
        const val TEAM_LIMIT = 200
    }
}

/** A stored text that failed validation. */
data class RejectedText(val team: String, val revision: Long, val faults: List<String>)
