package io.lavenderhinge.core.forwarding

/** How much of the cache of a server is remembered, and for how long. */
internal data class PromptCacheLimits(
    /** Size of the cache in tokens. */
    val tokens: Long,
    /** Bounds the memory of the instance. */
    val parts: Int,
    /** Time after a use until a part no longer counts as held. */
    val ageMillis: Long,
) {
    /** Creates the limits of servers of a known or unknown cache size. */
    companion object {
        private const val MAX_PARTS_OF_SERVER = 512
        /** About 8 MB over all servers of a pool. */
        private const val MAX_PARTS_OF_POOL = 65_536
        private const val MIN_PARTS_OF_SERVER = 64
        /** Uses at instances that are out of contact are not seen, so nothing is held for ever. */
        private const val MAX_AGE_MILLIS = 120_000L
        /** Other prompts have probably replaced a part in a cache of unknown size by then. */
        private const val UNKNOWN_CACHE_AGE_MILLIS = 30_000L

        /** Returns the limits of one of [serverCount] servers with [cacheTokens], if known. */
        fun of(cacheTokens: Long?, serverCount: Int): PromptCacheLimits =
            PromptCacheLimits(
                tokens = cacheTokens ?: Long.MAX_VALUE,
                parts =
                    (MAX_PARTS_OF_POOL / serverCount.coerceAtLeast(1)).coerceIn(
                        MIN_PARTS_OF_SERVER,
                        MAX_PARTS_OF_SERVER,
                    ),
                ageMillis = if (cacheTokens == null) UNKNOWN_CACHE_AGE_MILLIS else MAX_AGE_MILLIS,
            )
    }
}
