package io.lavenderhinge.core.settings

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.ImmutableSet

/** Input of [SettingsReplica]. */
sealed interface ReplicaEvent {
    /** Periodic timer event, sent about twice a second. */
    data object Tick : ReplicaEvent

    /** The live instances of the own failure domain, including this one. */
    data class InstancesChanged(val instances: ImmutableSet<String>) : ReplicaEvent

    /** All settings were read from the platform. */
    data class Listed(val texts: ImmutableList<TeamText>) : ReplicaEvent

    /** A watch returned changes; [revision] is where the next watch starts. */
    data class Watched(val texts: ImmutableList<TeamText>, val revision: Long) : ReplicaEvent

    /** The pending call to the platform failed. */
    data class PlatformFailed(val message: String) : ReplicaEvent

    /** A peer sent a digest of the revisions it holds. */
    data class DigestReceived(val from: String, val digest: SettingsDigest) : ReplicaEvent

    /** A peer sent texts, and requests the texts of [wantedTeams]. */
    data class DeltaReceived(
        val from: String,
        val texts: ImmutableList<TeamText>,
        val wantedTeams: ImmutableList<String>,
    ) : ReplicaEvent
}
