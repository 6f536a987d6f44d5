package io.lavenderhinge.core.quarantine

import io.lavenderhinge.core.membership.RendezvousHash

/** Hash of the id of a prompt part and of the service or model that reads it. */
@JvmInline
value class PartKey(val hash: Long) {
    companion object {
        /** Returns the key of the part [id] in prompts for [service]. */
        fun of(service: String, id: String): PartKey =
            PartKey(RendezvousHash.hash64("$service/$id").toLong())
    }
}
