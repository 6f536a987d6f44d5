package io.lavenderhinge.core.rollout

import io.lavenderhinge.core.settings.Target

/**
 * Loads the new version on the target's engines.
 *
 * Only loads are ordered, never unloads. A load that arrives late or twice, or from a mover that
 * was replaced at an engine that ignores the fencing number, changes no answer: which version gets
 * requests is decided by the record and the stop flags alone.
 */
internal class VersionLoader {
    private var version = ""
    private var servers: List<ServerVersion> = emptyList()
    private val loadedIds = HashSet<String>()
    private val orderedAtMillis = HashMap<String, Long>()
    private var weightsCheckedAtMillis: Long? = null

    /** Whether the weights are there; null while unknown. */
    var weightsPresent: Boolean? = null
        private set

    /** Begins anew when [newVersion] differs from the present one. */
    fun selectVersion(newVersion: String) {
        if (newVersion == version) return
        version = newVersion
        loadedIds.clear()
        orderedAtMillis.clear()
        weightsCheckedAtMillis = null
        weightsPresent = null
    }

    fun updateServers(current: List<ServerVersion>) {
        servers = current
        loadedIds.retainAll(current.mapTo(HashSet()) { it.id })
    }

    fun onLoaded(event: ControllerEvent.VersionLoaded) {
        if (event.version == version) loadedIds += event.serverId
    }

    fun onWeightsChecked(event: ControllerEvent.WeightsChecked) {
        if (event.version == version) weightsPresent = event.present
    }

    /** Servers that can serve the new version. */
    val readyServers: Int
        get() = servers.count { it.version == version || it.id in loadedIds }

    /** Servers that serve the target once it has moved. */
    fun requiredServers(plan: RolloutPlan): Int =
        when (plan.target) {
            is Target.Model -> servers.size
            is Target.Service ->
                maxOf(
                    servers.count { it.version == plan.fromVersion },
                    servers.count { it.version == plan.toVersion },
                )
        }

    /** The question to the weight store that is due, if any. */
    fun dueWeightCheck(nowMillis: Long): ControllerEffect? {
        val last = weightsCheckedAtMillis
        if (weightsPresent == true) return null
        if (last != null && nowMillis - last < WEIGHT_CHECK_PERIOD_MILLIS) return null
        weightsCheckedAtMillis = nowMillis
        return ControllerEffect.CheckWeights(version)
    }

    /** Orders that are due. They are repeated, since an engine may have been restarted. */
    fun dueLoadOrders(fencingNumber: Long, nowMillis: Long): List<ControllerEffect> =
        servers
            .filter { it.takesOrders && it.version != version }
            .filter {
                nowMillis - (orderedAtMillis[it.id] ?: Long.MIN_VALUE / 2) >= ORDER_REPEAT_MILLIS
            }
            .sortedBy { it.id in loadedIds }
            .take(MAX_ORDERS_PER_TICK)
            .onEach { orderedAtMillis[it.id] = nowMillis }
            .map { ControllerEffect.OrderLoad(it.id, version, fencingNumber) }

    private companion object {
        const val ORDER_REPEAT_MILLIS = 30_000L
        const val WEIGHT_CHECK_PERIOD_MILLIS = 10_000L

        /** The weight store is rate limited, and each load reads from it. */
        const val MAX_ORDERS_PER_TICK = 4
    }
}
