package io.lavenderhinge.core.scheduling

import io.lavenderhinge.core.membership.RendezvousHash

/**
 * Maps each backend server to its home instance. The home is the instance with the highest
 * rendezvous hash in the server's failure domain, or among all instances if the domain has none.
 *
 * An instance whose link broke is excluded for [SUSPECT_MILLIS], because the live list lags.
 */
class HomeDirectory {
    private var instances: List<InstanceView> = emptyList()
    private var servers: List<ServerView> = emptyList()
    private val suspectUntilMillis = HashMap<String, Long>()
    private var homes: Map<String, String> = emptyMap()

    /** Returns the home of [serverId], or null if the server or every instance is unknown. */
    fun homeOf(serverId: String): String? = homes[serverId]

    fun viewChanged(
        newInstances: List<InstanceView>,
        newServers: List<ServerView>,
        nowMillis: Long,
    ) {
        instances = newInstances
        servers = newServers
        updateHomes(nowMillis)
    }

    fun linkLost(instanceId: String, nowMillis: Long) {
        suspectUntilMillis[instanceId] = nowMillis + SUSPECT_MILLIS
        updateHomes(nowMillis)
    }

    /** Restores instances whose exclusion has expired. Returns true if homes may have changed. */
    fun tick(nowMillis: Long): Boolean {
        if (!suspectUntilMillis.values.removeIf { it <= nowMillis }) return false
        updateHomes(nowMillis)
        return true
    }

    private fun updateHomes(nowMillis: Long) {
        val eligible = instances.filter { (suspectUntilMillis[it.id] ?: 0) <= nowMillis }
        val idsByDomain = eligible.groupBy({ it.failureDomain }, { it.id })
        val allIds = eligible.map { it.id }
        homes =
            servers
                .mapNotNull { server ->
                    val candidates = idsByDomain[server.failureDomain] ?: allIds
                    RendezvousHash.highest(server.id, candidates)?.let { server.id to it }
                }
                .toMap()
    }

    private companion object {
        const val SUSPECT_MILLIS = 3_000L
    }
}
