package io.lavenderhinge.core.quarantine

import io.lavenderhinge.core.membership.RendezvousHash

/**
 * Identifies content that may crash the servers of one service or model: a prompt part, or a whole
 * request. The lowest bit of [hash] tells them apart.
 */
@JvmInline
value class SuspectKey(val hash: Long) {
    /** True if this is a whole request. */
    val isRequest: Boolean
        get() = hash and REQUEST_BIT != 0L

    companion object {
        private const val REQUEST_BIT = 1L

        /** Returns the key of the part [id] in prompts for [service]. */
        fun ofPart(service: String, id: String): SuspectKey =
            SuspectKey(RendezvousHash.hash64("$service/$id").toLong() and REQUEST_BIT.inv())

        /** Returns the key of the requests with [digest] to [service]. */
        fun ofRequest(service: String, digest: RequestDigest): SuspectKey =
            SuspectKey(digest.value xor RendezvousHash.hash64(service).toLong() or REQUEST_BIT)
    }
}
