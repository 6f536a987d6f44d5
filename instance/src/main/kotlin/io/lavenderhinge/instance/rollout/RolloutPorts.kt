package io.lavenderhinge.instance.rollout

import io.lavenderhinge.core.port.KeyValueStore
import io.lavenderhinge.core.port.ModelEngine
import io.lavenderhinge.core.port.WeightStore
import io.lavenderhinge.core.rollout.TeamTarget
import io.lavenderhinge.core.settings.SettingsTree
import io.lavenderhinge.instance.peer.PeerLinks

/** A backend server that can take part in a rollout. [engine] is null for a plain service. */
data class RolloutServer(val id: String, val version: String, val engine: ModelEngine?)

/**
 * What the service needs from the rest of the instance. Functions are called on the control thread.
 *
 * [settings] gives the settings in force, [liveInstances] the ids of the live instances with this
 * one, and [servers] the live backend servers of a target, of every version.
 */
class RolloutPorts(
    val store: KeyValueStore,
    val weights: WeightStore,
    val links: PeerLinks,
    val settings: () -> SettingsTree,
    val liveInstances: () -> List<String>,
    val servers: (TeamTarget) -> List<RolloutServer>,
)
