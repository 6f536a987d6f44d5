package io.lavenderhinge.instance.rollout

import io.lavenderhinge.core.port.KeyValueStore
import io.lavenderhinge.core.port.ModelEngine
import io.lavenderhinge.core.port.WeightStore
import io.lavenderhinge.core.rollout.TeamTarget
import io.lavenderhinge.core.settings.SettingsTree
import io.lavenderhinge.instance.peer.PeerLinks

/** A backend server of a rollout target. [engine] is null for a plain service. */
data class RolloutServer(val id: String, val version: String, val engine: ModelEngine?)

/**
 * Dependencies of [RolloutService] on the rest of the instance. All functions are called on the
 * control thread.
 *
 * [settings] returns the current settings, [liveInstances] the ids of all live instances including
 * this one, and [servers] the live backend servers of a target, whatever their version.
 */
class RolloutPorts(
    val store: KeyValueStore,
    val weights: WeightStore,
    val links: PeerLinks,
    val settings: () -> SettingsTree,
    val liveInstances: () -> List<String>,
    val servers: (TeamTarget) -> List<RolloutServer>,
)
