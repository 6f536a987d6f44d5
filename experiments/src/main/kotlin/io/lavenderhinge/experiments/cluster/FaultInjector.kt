package io.lavenderhinge.experiments.cluster

import io.lavenderhinge.experiments.scheduler.SchedulerEvent
import io.lavenderhinge.experiments.time.EventLoop

/** Injects and clears faults during a run. Repeating an active fault has no effect. */
class FaultInjector(private val cluster: Cluster, private val loop: EventLoop) {
    private val network = cluster.network

    /** Multiplier of the request arrival rate. */
    var arrivalFactor = 1.0

    fun setSlowdown(serverId: String, factor: Double) {
        cluster.backends.getValue(serverId).slowdownFactor = factor
    }

    fun crashServer(serverId: String) {
        val server = cluster.backends.getValue(serverId)
        if (server.isUp) server.crash()
    }

    fun restartServer(serverId: String) {
        val server = cluster.backends.getValue(serverId)
        if (!server.isUp) server.restart()
        cluster.leavingServerIds.remove(serverId)
    }

    fun drainServer(serverId: String) {
        cluster.backends.getValue(serverId).startDraining()
        cluster.leavingServerIds.add(serverId)
    }

    fun partitionDomain(failureDomain: String) {
        if (!network.partition(failureDomain)) return
        loop.after(PARTITION_DETECTION_MICROS) {
            cluster.streams.failPartitioned { record, serverId ->
                crossesBoundary(failureDomain, record.entryId, serverId)
            }
            forEachCrossingLink(failureDomain) { host, peerId ->
                host.deliver(SchedulerEvent.PeerLost(peerId))
            }
        }
    }

    fun healDomain(failureDomain: String) {
        if (!network.heal(failureDomain)) return
        loop.after(RECONNECT_MICROS) {
            forEachCrossingLink(failureDomain) { host, peerId -> restoreLink(host, peerId) }
        }
    }

    fun crashInstance(instanceId: String) {
        val host = cluster.hosts.getValue(instanceId)
        if (!host.isUp) return
        host.stop()
        val lost = cluster.requests.active.filter { it.entryId == instanceId }
        lost.forEach { cluster.streams.endAndCancel(it, Outcome.INSTANCE_LOST) }
        loop.after(CONNECTION_RESET_MICROS) {
            notifyPeers(instanceId) { SchedulerEvent.PeerLost(instanceId) }
        }
        loop.after(HEALTH_CHECK_MICROS) {
            if (!host.isUp) cluster.setReady(instanceId, isReady = false)
        }
    }

    fun restartInstance(instanceId: String) {
        val host = cluster.hosts.getValue(instanceId)
        if (host.isUp) return
        cluster.setReady(instanceId, isReady = true)
        cluster.startInstance(instanceId)
        loop.after(RECONNECT_MICROS) {
            if (!host.isUp) return@after
            notifyPeers(instanceId) { SchedulerEvent.PeerRestored(instanceId) }
            cluster.hosts.values
                .filter { !it.isUp || !network.isReachable(instanceId, it.id) }
                .forEach { host.deliver(SchedulerEvent.PeerLost(it.id)) }
        }
    }

    private fun notifyPeers(instanceId: String, event: () -> SchedulerEvent) {
        for (peer in cluster.hosts.values) {
            val isLinked = peer.id != instanceId && network.isReachable(instanceId, peer.id)
            if (isLinked) peer.deliver(event())
        }
    }

    private fun restoreLink(host: InstanceHost, peerId: String) {
        val isUsable = cluster.hosts.getValue(peerId).isUp && network.isReachable(host.id, peerId)
        if (isUsable) host.deliver(SchedulerEvent.PeerRestored(peerId))
    }

    private fun forEachCrossingLink(failureDomain: String, action: (InstanceHost, String) -> Unit) {
        for (host in cluster.hosts.values) {
            for (peer in cluster.hosts.values) {
                if (crossesBoundary(failureDomain, host.id, peer.id)) action(host, peer.id)
            }
        }
    }

    private fun crossesBoundary(failureDomain: String, firstId: String, secondId: String): Boolean =
        (network.member(firstId).failureDomain == failureDomain) !=
            (network.member(secondId).failureDomain == failureDomain)

    private companion object {
        // Keepalive and progress timeouts detect a silent link after about a second.
        const val PARTITION_DETECTION_MICROS = 1_000_000L

        // The operating system resets the connections of a dead process at once; peers see the
        // reset within this time.
        const val CONNECTION_RESET_MICROS = 200_000L
        const val RECONNECT_MICROS = 500_000L
        const val HEALTH_CHECK_MICROS = 1_000_000L
    }
}
