package io.lavenderhinge.core.rollout

import io.lavenderhinge.core.settings.Target

/**
 * Loads the new version on the target's engines.
 *
 * Only loads are ordered, never unloads. A load that arrives late or twice, or from a mover that
 * was replaced at an engine that ignores the fencing number, changes no answer: which version gets
 * requests is decided by the record and the stop flags alone.
 */
internal class WarmUp {
    private var version = ""
    private var servers: List<ServerVersion> = emptyList()
    private val loadedIds = HashSet<String>()
    private val orderedAtMillis = HashMap<String, Long>()
    private var weightsAskedAtMillis: Long? = null

    /** Whether the weights are there; null while unknown. */
    var weightsPresent: Boolean? = null
        private set

    /** Begins anew when [newVersion] differs from the present one. */
    fun prepare(newVersion: String) {
        if (newVersion == version) return
        version = newVersion
        loadedIds.clear()
        orderedAtMillis.clear()
        weightsAskedAtMillis = null
        weightsPresent = null
    }

    fun see(current: List<ServerVersion>) {
        servers = current
        loadedIds.retainAll(current.mapTo(HashSet()) { it.id })
    }

    fun loaded(event: MoverEvent.Loaded) {
        if (event.version == version) loadedIds += event.serverId
    }

    fun weightsChecked(event: MoverEvent.WeightsChecked) {
        if (event.version == version) weightsPresent = event.present
    }

    /** Servers that can serve the new version. */
    val ready: Int
        get() = servers.count { it.version == version || it.id in loadedIds }

    /** Servers that serve the target once it has moved. */
    fun total(plan: RolloutPlan): Int =
        when (plan.target) {
            is Target.Model -> servers.size
            is Target.Service ->
                maxOf(
                    servers.count { it.version == plan.fromVersion },
                    servers.count { it.version == plan.toVersion },
                )
        }

    /** The question to the weight store that is due, if any. */
    fun dueWeightCheck(nowMillis: Long): MoverEffect? {
        val last = weightsAskedAtMillis
        if (weightsPresent == true) return null
        if (last != null && nowMillis - last < WEIGHT_CHECK_MILLIS) return null
        weightsAskedAtMillis = nowMillis
        return MoverEffect.CheckWeights(version)
    }

    /** Orders that are due. They are repeated, since an engine may have been restarted. */
    fun dueOrders(fencingNumber: Long, nowMillis: Long): List<MoverEffect> =
        servers
            .filter { it.takesOrders && it.version != version }
            .filter { nowMillis - (orderedAtMillis[it.id] ?: Long.MIN_VALUE / 2) >= REPEAT_MILLIS }
            .sortedBy { it.id in loadedIds }
            .take(MAX_ORDERS_PER_TICK)
            .onEach { orderedAtMillis[it.id] = nowMillis }
            .map { MoverEffect.OrderLoad(it.id, version, fencingNumber) }

    private companion object {
        const val REPEAT_MILLIS = 30_000L
        const val WEIGHT_CHECK_MILLIS = 10_000L

        /** The weight store is rate limited, and each load reads from it. */
        const val MAX_ORDERS_PER_TICK = 4
    }
}
