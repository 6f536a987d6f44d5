package io.lavenderhinge.core.forwarding

import io.lavenderhinge.core.membership.RendezvousHash

/**
 * The instances of the fleet, for shares that hold without contact between instances.
 *
 * They are those that the store last listed and those that have reported since. An instance that
 * cannot be heard stays a member: in a partition, each side would else use the share of the other.
 * Not thread-safe.
 */
internal class FleetMembers {
    private val hashes = HashMap<String, ULong>()
    private var listed = emptySet<String>()
    private val heardMillis = HashMap<String, Long>()
    private var selfId: String? = null

    /** Changes with each change of the members. */
    var revision = 0
        private set

    /** True once the store has listed the instances. */
    val isListed: Boolean
        get() = selfId != null

    val count: Int
        get() = hashes.size

    /** Records that the store lists [selfId], which is this instance, and [others]. */
    fun onListed(selfId: String, others: Set<String>, nowMillis: Long) {
        this.selfId = selfId
        listed = others + selfId
        update(nowMillis)
    }

    /** Records a report of [peer]. */
    fun onHeard(peer: String, nowMillis: Long) {
        if (heardMillis.size >= MAX_HEARD && peer !in heardMillis) return
        heardMillis[peer] = nowMillis
        if (peer !in hashes) update(nowMillis)
    }

    private fun update(nowMillis: Long) {
        heardMillis.values.removeIf { nowMillis - it > FORGET_MILLIS }
        val members = listed + heardMillis.keys
        if (members == hashes.keys) return
        hashes.keys.retainAll(members)
        members.forEach { hashes.getOrPut(it) { RendezvousHash.hash64(it) } }
        revision++
    }

    /**
     * Returns the place of this instance, from 0, in the order of the members for [item]. The order
     * is the same on all instances with the same members, and a new member shifts others by one.
     */
    fun rank(item: String): Int {
        val self = selfId ?: return Int.MAX_VALUE
        val itemHash = RendezvousHash.hash64(item)
        val own = RendezvousHash.weight(itemHash, hashes.getValue(self))
        return hashes.count { (id, hash) ->
            val weight = RendezvousHash.weight(itemHash, hash)
            weight > own || weight == own && id > self
        }
    }

    private companion object {
        /** Longer than partitions between failure domains last. */
        const val FORGET_MILLIS = 600_000L
        /** Bounds the memory, well above the largest fleet. */
        const val MAX_HEARD = 4_096
    }
}
