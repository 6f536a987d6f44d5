package io.lavenderhinge.instance.membership

import io.lavenderhinge.protocol.v1.Digest

/** Adds the data of another service to each gossip digest. Called on the control thread. */
fun interface DigestContributor {
    /** Adds to [digest], in which `reply_wanted` is already set. */
    fun contributeTo(digest: Digest.Builder)
}
