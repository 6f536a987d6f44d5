package io.lavenderhinge.core.settings

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.ImmutableSet

/** Input of [SettingsReplica]. */
sealed interface ReplicaEvent {
    /** Time has passed; sent about twice a second. */
    data object Tick : ReplicaEvent

    /** Live instances of the own failure domain, this one included. */
    data class InstancesChanged(val instances: ImmutableSet<String>) : ReplicaEvent

    /** All settings at the platform. */
    data class Listed(val texts: ImmutableList<TeamText>) : ReplicaEvent

    /** Changes at the platform; [revision] is where the next watch begins. */
    data class Watched(val texts: ImmutableList<TeamText>, val revision: Long) : ReplicaEvent

    /** The pending call to the platform gave no result. */
    data class PlatformFailed(val message: String) : ReplicaEvent

    /** A peer states what it holds. */
    data class DigestReceived(val from: String, val digest: SettingsDigest) : ReplicaEvent

    /** A peer sends texts, and names teams whose texts it wants. */
    data class DeltaReceived(
        val from: String,
        val texts: ImmutableList<TeamText>,
        val wantedTeams: ImmutableList<String>,
    ) : ReplicaEvent
}
