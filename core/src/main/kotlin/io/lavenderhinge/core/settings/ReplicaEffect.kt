package io.lavenderhinge.core.settings

import arrow.core.NonEmptyList

/** Output of [SettingsReplica]. */
sealed interface ReplicaEffect {
    /** Read all settings from the platform; answered by `Listed` or `PlatformFailed`. */
    data object ListPlatform : ReplicaEffect

    /** Wait for changes at the platform; answered by `Watched` or `PlatformFailed`. */
    data class WatchPlatform(val afterRevision: Long, val waitMillis: Long) : ReplicaEffect

    /** Send a digest to [to]. */
    data class SendDigest(val to: String, val digest: SettingsDigest) : ReplicaEffect

    /** Send texts to [to], and ask for the texts of [wantedTeams]. */
    data class SendDelta(val to: String, val texts: List<TeamText>, val wantedTeams: List<String>) :
        ReplicaEffect

    /** [settings] are in force from now on. */
    data class Activate(val settings: TeamSettings) : ReplicaEffect

    /** The text of [team] at [revision] is invalid; what was in force stays so. */
    data class Reject(
        val team: String,
        val revision: Long,
        val faults: NonEmptyList<SettingsFault>,
    ) : ReplicaEffect

    /** The instance has a full tree from now on. */
    data object BecameReady : ReplicaEffect
}
