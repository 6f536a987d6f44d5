package io.lavenderhinge.core.ledger

/**
 * Versions of a shard's segment slots, for compare-and-swap.
 *
 * A version learnt from a conflict may be a write by another writer that the head refers to by now.
 * It may be overwritten only after a later commit of the head by this writer: that commit proves
 * that no head refers to it, and ends any commit of the other writer that would.
 */
internal class SegmentSlots {
    private class Slot(val version: Long, val isFenced: Boolean)

    private val slots = HashMap<Int, Slot>()

    /** The lowest slot that [head] leaves free and that may be overwritten. */
    fun findFree(head: ShardHead): Int {
        val used = head.segments.mapTo(HashSet()) { it.slot }
        return generateSequence(0) { it + 1 }.first { it !in used && slots[it]?.isFenced != false }
    }

    /** Version to expect when writing [slot]; a slot never seen must not exist. */
    fun expectedVersion(slot: Int): Long = slots[slot]?.version ?: 0

    /** [version] was written by this writer or is referred to by the head. */
    fun markReusable(slot: Int, version: Long) {
        slots[slot] = Slot(version, isFenced = true)
    }

    /** [version] was found where another was expected. */
    fun markConflicting(slot: Int, version: Long) {
        slots[slot] = Slot(version, isFenced = false)
    }

    /** A commit that was issued after the last conflict took effect. */
    fun fence() {
        slots.replaceAll { _, slot -> Slot(slot.version, isFenced = true) }
    }
}
