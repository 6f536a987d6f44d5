package io.lavenderhinge.core.membership

/** Rendezvous (highest random weight) hashing: every instance picks the same member for a key. */
object RendezvousHash {
    /** The member with the highest weight for [key], or null when there is none. */
    fun choose(key: String, memberIds: Collection<String>): String? =
        memberIds.maxWithOrNull(compareBy<String> { weight(key, it) }.thenBy { it })

    /** The weight of [memberId] for [key]. Stable across releases and processes. */
    fun weight(key: String, memberId: String): Long = mix(hash(key) * GOLDEN xor hash(memberId))

    private fun hash(text: String): Long {
        var hash = FNV_OFFSET
        for (character in text) {
            hash = (hash xor character.code.toLong()) * FNV_PRIME
        }
        return hash
    }

    /** Finalizer of SplitMix64: spreads close inputs over all bits. */
    private fun mix(value: Long): Long {
        var mixed = value
        mixed = (mixed xor (mixed ushr FIRST_SHIFT)) * FIRST_FACTOR
        mixed = (mixed xor (mixed ushr SECOND_SHIFT)) * SECOND_FACTOR
        return mixed xor (mixed ushr LAST_SHIFT)
    }

    private const val FIRST_SHIFT = 30
    private const val SECOND_SHIFT = 27
    private const val LAST_SHIFT = 31
    private const val FIRST_FACTOR = -0x40a7b892e31b1a47L
    private const val SECOND_FACTOR = -0x6b2fb644ecceee15L
    private const val GOLDEN = -0x61c8864680b583ebL
    private const val FNV_OFFSET = -0x340d631b7bdddcdbL
    private const val FNV_PRIME = 0x100000001b3L
}
