package io.lavenderhinge.core.rollout

/** Versions of a target and the traffic share of the new version on one instance. */
data class VersionSplit(
    val rolloutId: String,
    val fromVersion: String,
    val toVersion: String,
    val newShareFraction: Double,
) {
    /**
     * Returns the version for [requestId]. The hash includes the rollout id, so that each rollout
     * selects different requests first. A request id that maps to the new version keeps it while
     * the share rises.
     */
    fun versionFor(requestId: String): String =
        if (hashFraction(requestId) < newShareFraction) toVersion else fromVersion

    private fun hashFraction(requestId: String): Double {
        val hash = Hashing.hash64("$rolloutId $requestId")
        return (hash ushr UNUSED_BITS).toDouble() / HASH_RANGE
    }

    private companion object {
        const val UNUSED_BITS = 11
        const val HASH_RANGE = (1L shl 53).toDouble()
    }
}

/** 64-bit FNV-1a with the MurmurHash3 finalizer, which distributes short inputs evenly. */
internal object Hashing {
    fun hash64(text: String): Long {
        var hash = FNV_OFFSET
        for (char in text) {
            hash = (hash xor char.code.toLong()) * FNV_PRIME
        }
        hash = (hash xor (hash ushr MIX_BITS)) * MIX_1
        hash = (hash xor (hash ushr MIX_BITS)) * MIX_2
        return hash xor (hash ushr MIX_BITS)
    }

    private const val FNV_OFFSET = -3750763034362895579L
    private const val FNV_PRIME = 1099511628211L
    private const val MIX_BITS = 33
    private const val MIX_1 = -49064778989728563L
    private const val MIX_2 = -4265267296055464877L
}
