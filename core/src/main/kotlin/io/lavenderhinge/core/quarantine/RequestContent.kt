package io.lavenderhinge.core.quarantine

/** Content of a request that may crash the servers that run it. */
sealed interface CrashSuspect {
    /** Returns the key of this content in requests to [service]. */
    fun key(service: String): SuspectKey

    /** A part of a prompt, which other requests may share. */
    data class Part(val id: String) : CrashSuspect {
        override fun key(service: String) = SuspectKey.ofPart(service, id)

        override fun toString() = "prompt part $id"
    }

    /** The request as a whole, which may be repeated. */
    class Request(private val digest: RequestDigest) : CrashSuspect {
        override fun key(service: String) = SuspectKey.ofRequest(service, digest)

        override fun toString() = "request ${digest.value.toULong().toString(HEXADECIMAL)}"

        private companion object {
            const val HEXADECIMAL = 16
        }
    }
}

/** What a request consists of, as far as it may crash servers. */
class RequestContent(partIds: List<String>, digest: RequestDigest? = null) {
    /** The content by which a request is recognized, most shared first. */
    val all: List<CrashSuspect> =
        partIds.map(CrashSuspect::Part) + listOfNotNull(digest?.let(CrashSuspect::Request))

    /**
     * The content that is suspected of a crash, most shared first. The last part of a prompt
     * belongs to its request alone, for which the digest stands.
     */
    val suspects: List<CrashSuspect> = all.filterIndexed { index, _ -> index != partIds.lastIndex }
}
