package io.lavenderhinge.instance.gateway

import io.lavenderhinge.core.settings.Address
import io.lavenderhinge.protocol.v1.LoadReport

/**
 * The other instances, as listed in the store and as learned from their load reports. Confined to
 * the traffic thread.
 */
internal class PeerTable {
    private class Peer(var address: Address) {
        var isRegistered = false
        var incarnation = 0L
        var sequence = 0L
        var lastReportMillis: Long? = null
    }

    private val peers = HashMap<String, Peer>()

    val ids: Set<String>
        get() = peers.keys

    val addresses: Collection<Address>
        get() = peers.values.map { it.address }

    /** Returns the address of [id], or null if it is unknown. */
    fun address(id: String): Address? = peers[id]?.address

    /** Updates the peers from the list in the store. */
    fun onMembersListed(listed: Map<String, Address>, nowMillis: Long) {
        listed.forEach { (id, address) ->
            val peer = peers.getOrPut(id) { Peer(address) }
            // An address that a peer reported itself takes precedence over the list, which may be
            // stale.
            if (peer.lastReportMillis == null) peer.address = address
            peer.isRegistered = true
        }
        peers.forEach { (id, peer) -> peer.isRegistered = id in listed }
        expire(nowMillis)
    }

    /** Updates the sender of [report]; returns false if the report is stale. */
    fun onReport(report: LoadReport, nowMillis: Long): Boolean {
        val address = Address(report.ip, report.peerPort)
        val peer = peers.getOrPut(report.instanceId) { Peer(address) }
        val isSameRun = peer.incarnation == report.incarnation
        if (isSameRun && report.sequence <= peer.sequence) return false
        peer.address = address
        peer.incarnation = report.incarnation
        peer.sequence = report.sequence
        peer.lastReportMillis = nowMillis
        return true
    }

    /** Removes peers that the store does not list and that have stopped reporting. */
    fun expire(nowMillis: Long) {
        peers.values.removeIf {
            !it.isRegistered && nowMillis - (it.lastReportMillis ?: 0) > PEER_TIMEOUT_MILLIS
        }
    }

    private companion object {
        /**
         * Exceeds the lease of an instance in the store, after which the store no longer lists it.
         */
        const val PEER_TIMEOUT_MILLIS = 12_000L
    }
}
