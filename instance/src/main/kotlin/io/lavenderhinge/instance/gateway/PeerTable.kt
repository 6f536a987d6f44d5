package io.lavenderhinge.instance.gateway

import io.lavenderhinge.core.settings.Address
import io.lavenderhinge.protocol.v1.LoadReport

/**
 * The other instances, from the store and from their own reports. Confined to the traffic thread.
 */
internal class PeerTable {
    private class Peer(var address: Address) {
        var isRegistered = false
        var incarnation = 0L
        var sequence = 0L
        var lastReportMillis: Long? = null
    }

    private val peers = HashMap<String, Peer>()

    /** Ids of the peers. */
    val ids: Set<String>
        get() = peers.keys

    /** Addresses of the peers. */
    val addresses: Collection<Address>
        get() = peers.values.map { it.address }

    /** The address of [id], or null. */
    fun address(id: String): Address? = peers[id]?.address

    /** Takes over the list of the store. */
    fun onMembersListed(listed: Map<String, Address>, nowMillis: Long) {
        listed.forEach { (id, address) ->
            val peer = peers.getOrPut(id) { Peer(address) }
            // A peer that reports knows its own address better than the list, which may be old.
            if (peer.lastReportMillis == null) peer.address = address
            peer.isRegistered = true
        }
        peers.forEach { (id, peer) -> peer.isRegistered = id in listed }
        expire(nowMillis)
    }

    /** Takes over the sender of [report]; false when the report is older than one before. */
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

    /** Drops peers that the store does not list and that are silent. */
    fun expire(nowMillis: Long) {
        peers.values.removeIf {
            !it.isRegistered && nowMillis - (it.lastReportMillis ?: 0) > PEER_TIMEOUT_MILLIS
        }
    }

    private companion object {
        const val PEER_TIMEOUT_MILLIS = 4_000L
    }
}
