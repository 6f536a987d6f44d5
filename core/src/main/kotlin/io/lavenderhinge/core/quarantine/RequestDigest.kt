package io.lavenderhinge.core.quarantine

import java.io.DataOutputStream
import java.io.OutputStream
import java.nio.ByteBuffer
import java.security.DigestOutputStream
import java.security.MessageDigest
import java.util.zip.CRC32C

/**
 * Identifies a request that comes again, at whichever instance, by its [caller], [method], [target]
 * and [body]. It is cryptographic, so that nobody can make a request of another caller look like
 * one that crashes servers.
 */
class RequestDigest(
    private val caller: String?,
    private val method: String,
    private val target: String,
    private val body: ByteArray,
) {
    /** The digest; computed on first use. */
    val value: Long by lazy(LazyThreadSafetyMode.NONE, ::compute)

    private fun compute(): Long {
        val digest = MessageDigest.getInstance("SHA-256")
        DataOutputStream(DigestOutputStream(OutputStream.nullOutputStream(), digest)).use {
            it.writeUTF(caller.orEmpty())
            it.writeUTF(method)
            it.writeUTF(target)
            it.writeInt(body.size)
            it.write(body, 0, minOf(body.size, MAX_DIGESTED_BYTES))
            it.writeLong(checksumOfRest())
        }
        return ByteBuffer.wrap(digest.digest()).getLong()
    }

    private fun checksumOfRest(): Long {
        if (body.size <= MAX_DIGESTED_BYTES) return 0
        val checksum = CRC32C()
        checksum.update(body, MAX_DIGESTED_BYTES, body.size - MAX_DIGESTED_BYTES)
        return checksum.value
    }

    private companion object {
        /** A longer body would keep the traffic thread busy; its rest has a fast checksum. */
        const val MAX_DIGESTED_BYTES = 65_536
    }
}
