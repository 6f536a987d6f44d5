package io.lavenderhinge.core.ledger

/**
 * Versions of a shard's segment slots, used as expected versions for compare-and-swap.
 *
 * A version learnt from a conflict may belong to another writer, and a head may refer to it. The
 * slot may be overwritten only after a later head commit by this writer: that commit proves that
 * the head does not refer to the slot, and makes any pending head write of the other writer fail.
 */
internal class SegmentSlots {
    private class Slot(val version: Long, val isFenced: Boolean)

    private val slots = HashMap<Int, Slot>()

    /** The lowest slot that [head] does not refer to and that may be overwritten. */
    fun findFree(head: ShardHead): Int {
        val used = head.segments.mapTo(HashSet()) { it.slot }
        return generateSequence(0) { it + 1 }.first { it !in used && slots[it]?.isFenced != false }
    }

    /**
     * Expected version for a write of [slot]; 0, meaning that the key must not exist, for an
     * unknown slot.
     */
    fun expectedVersion(slot: Int): Long = slots[slot]?.version ?: 0

    /** Records a [version] that this writer wrote or that the head refers to. */
    fun markReusable(slot: Int, version: Long) {
        slots[slot] = Slot(version, isFenced = true)
    }

    /** Records a [version] that was found in place of the expected one. */
    fun markConflicting(slot: Int, version: Long) {
        slots[slot] = Slot(version, isFenced = false)
    }

    /**
     * Makes all slots reusable. Called when a commit issued after the last conflict took effect.
     */
    fun fence() {
        slots.replaceAll { _, slot -> Slot(slot.version, isFenced = true) }
    }
}
