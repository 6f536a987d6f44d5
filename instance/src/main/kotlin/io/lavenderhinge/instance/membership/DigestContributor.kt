package io.lavenderhinge.instance.membership

import io.lavenderhinge.protocol.v1.Digest

/** Adds what another service gossips to each digest. Called on the control thread. */
fun interface DigestContributor {
    /** Adds to [digest], whose `reply_wanted` is set already. */
    fun contributeTo(digest: Digest.Builder)
}
