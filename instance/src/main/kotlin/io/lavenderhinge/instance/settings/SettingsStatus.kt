package io.lavenderhinge.instance.settings

/**
 * Value of `status/settings/<failure domain>`: what the first relay of a domain sees in force.
 *
 * [teams] is left out above [TEAM_LIMIT] teams, where [treeHash] alone tells whether the domain
 * follows `config/`. [agreeing] of the [instances] are known to hold the same revisions.
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

/** A text that is stored but did not pass validation. */
data class RejectedText(val team: String, val revision: Long, val faults: List<String>)
