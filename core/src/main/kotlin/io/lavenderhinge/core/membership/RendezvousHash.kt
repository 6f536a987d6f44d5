package io.lavenderhinge.core.membership

/**
 * Rendezvous (highest random weight) hashing: instances with the same candidates select the same
 * one, and removing a candidate moves only the items that were assigned to it.
 */
object RendezvousHash {
    /** The candidate with the highest weight for [item]; null when there is none. */
    fun highest(item: String, candidates: Iterable<String>): String? =
        candidates.maxWithOrNull(compareBy<String> { weight(item, it) }.thenBy { it })

    /** The [count] candidates with the highest weights for [item], highest first. */
    fun highest(item: String, candidates: Iterable<String>, count: Int): List<String> =
        candidates
            .sortedWith(compareByDescending<String> { weight(item, it) }.thenByDescending { it })
            .take(count)

    /** Weight of [candidate] for [item]; the same on every instance and release. */
    fun weight(item: String, candidate: String): ULong = weight(hash64(item), hash64(candidate))

    /** Weight for values of [hash64] that the caller keeps, because it needs them often. */
    fun weight(itemHash: ULong, candidateHash: ULong): ULong = mix(itemHash xor mix(candidateHash))

    /** 64-bit FNV-1a of the UTF-8 bytes of [text], mixed so that all bits depend on all bytes. */
    fun hash64(text: String): ULong =
        mix(
            text.encodeToByteArray().fold(FNV_OFFSET) { hash, byte ->
                (hash xor byte.toUByte().toULong()) * FNV_PRIME
            }
        )

    /** MurmurHash3 finaliser; with FNV-1a alone the high bits of similar names are similar. */
    private fun mix(value: ULong): ULong {
        var mixed = value
        mixed = (mixed xor (mixed shr SHIFT)) * MIX_FIRST
        mixed = (mixed xor (mixed shr SHIFT)) * MIX_SECOND
        return mixed xor (mixed shr SHIFT)
    }

    private const val FNV_OFFSET = 0xcbf29ce484222325uL
    private const val FNV_PRIME = 0x100000001b3uL
    private const val MIX_FIRST = 0xff51afd7ed558ccduL
    private const val MIX_SECOND = 0xc4ceb9fe1a85ec53uL
    private const val SHIFT = 33
}
