package io.lavenderhinge.core.rollout

import io.lavenderhinge.core.settings.Target

/**
 * Loads the new version on the model engines of the target.
 *
 * It orders loads only, never unloads. A load that is late or repeated, or comes from a replaced
 * controller at an engine that ignores fencing numbers, affects no request: the record and the stop
 * flags alone determine which version gets traffic.
 */
internal class VersionLoader {
    private var version = ""
    private var servers: List<ServerVersion> = emptyList()
    private val loadedIds = HashSet<String>()
    private val orderedAtMillis = HashMap<String, Long>()
    private var weightsCheckedAtMillis: Long? = null

    /** Whether the weight store has the weights; null while unknown. */
    var weightsPresent: Boolean? = null
        private set

    /** Resets the state if [newVersion] differs from the current version. */
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

    /** Number of servers that can serve the new version. */
    val readyServers: Int
        get() = servers.count { it.version == version || it.id in loadedIds }

    /** Number of servers that the new version needs to serve the full traffic. */
    fun requiredServers(plan: RolloutPlan): Int =
        when (plan.target) {
            is Target.Model -> servers.size
            is Target.Service ->
                maxOf(
                    servers.count { it.version == plan.fromVersion },
                    servers.count { it.version == plan.toVersion },
                )
        }

    /** The weight store check that is due, or null. */
    fun dueWeightCheck(nowMillis: Long): ControllerEffect? {
        val last = weightsCheckedAtMillis
        if (weightsPresent == true) return null
        if (last != null && nowMillis - last < WEIGHT_CHECK_PERIOD_MILLIS) return null
        weightsCheckedAtMillis = nowMillis
        return ControllerEffect.CheckWeights(version)
    }

    /** Load orders that are due. Orders are repeated in case an engine was restarted. */
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

        /** Limits the load rate, since each load reads from the rate-limited weight store. */
        const val MAX_ORDERS_PER_TICK = 4
    }
}
