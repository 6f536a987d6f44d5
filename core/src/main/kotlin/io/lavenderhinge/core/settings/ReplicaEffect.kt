package io.lavenderhinge.core.settings

import arrow.core.NonEmptyList

/** Output of [SettingsReplica]. */
sealed interface ReplicaEffect {
    /** Read all settings from the platform; completed by `Listed` or `PlatformFailed`. */
    data object ListPlatform : ReplicaEffect

    /** Wait for changes at the platform; completed by `Watched` or `PlatformFailed`. */
    data class WatchPlatform(val afterRevision: Long, val waitMillis: Long) : ReplicaEffect

    /** Send a digest to [to]. */
    data class SendDigest(val to: String, val digest: SettingsDigest) : ReplicaEffect

    /** Send texts to [to], and request the texts of [wantedTeams]. */
    data class SendDelta(val to: String, val texts: List<TeamText>, val wantedTeams: List<String>) :
        ReplicaEffect

    /** [settings] are now active. */
    data class Activate(val settings: TeamSettings) : ReplicaEffect

    /** The text of [team] at [revision] is invalid; the active settings are unchanged. */
    data class Reject(
        val team: String,
        val revision: Long,
        val faults: NonEmptyList<SettingsFault>,
    ) : ReplicaEffect

    /** The instance now has a complete settings tree. */
    data object BecameReady : ReplicaEffect
}
