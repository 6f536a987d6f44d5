package io.lavenderhinge.instance.rollout

import io.lavenderhinge.core.port.KeyValueStore
import io.lavenderhinge.core.port.ModelEngine
import io.lavenderhinge.core.port.WeightStore
import io.lavenderhinge.core.rollout.RequestOutcome
import io.lavenderhinge.core.rollout.StopFlag
import io.lavenderhinge.core.rollout.TeamTarget
import io.lavenderhinge.core.settings.SettingsTree
import io.lavenderhinge.instance.control.ControlThread
import io.lavenderhinge.instance.peer.PeerLinks

/** A backend server that can take part in a rollout. [engine] is null for a plain service. */
data class RolloutServer(val id: String, val version: String, val engine: ModelEngine?)

/** What the service needs from the rest of the instance. Functions run on the control thread. */
class RolloutPorts(
    val store: KeyValueStore,
    val weights: WeightStore,
    val links: PeerLinks,
    /** Settings in force. */
    val settings: () -> SettingsTree,
    /** Ids of the live instances, this one included. */
    val liveInstances: () -> List<String>,
    /** Live backend servers of a target, of every version. */
    val servers: (TeamTarget) -> List<RolloutServer>,
)

/**
 * Runs rollouts on one instance: choice of version, statistics, stops and, when elected, the mover.
 */
class RolloutService(private val ports: RolloutPorts, private val control: ControlThread) {
    /** Starts the periodic work on the control thread. */
    fun start(): Unit = TODO("follows in the next commits: ${ports.links.selfId} $control")

    /**
     * The version that [requestId] is sent to, or null when the settings do not name [target]. May
     * be called on any thread; the same request id gets the same version while the share holds.
     */
    fun versionFor(target: TeamTarget, requestId: String): String? = TODO("$target $requestId")

    /** Counts an outcome. May be called on any thread. */
    fun observe(target: TeamTarget, route: String, version: String, outcome: RequestOutcome): Unit =
        TODO("$target $route $version $outcome")

    /** Stop flags for the digest of the gossip; frames received are merged by this service. */
    fun stopFlags(): List<StopFlag> = TODO("follows in the next commits")

    /**
     * One plain sentence for each declared rollout, by `team/name`. May be called on any thread.
     */
    fun statements(): Map<String, String> = TODO("follows in the next commits")
}
