package io.lavenderhinge.core.forwarding

import io.lavenderhinge.core.membership.RendezvousHash

/**
 * Estimates how much of a prompt is in the cache of a server.
 *
 * An instance knows only what it sent itself. Requests of one session arrive at any instance of a
 * failure domain, so all of these prefer the same two servers for it, by rendezvous hashing of the
 * last part of the prompt: a part that an instance has not sent itself is probably there.
 */
internal class PrefixAffinity {
    /** The prompt parts that were sent to one server, the least recently used ones first. */
    class SentParts {
        private val sentMillis =
            object : LinkedHashMap<String, Long>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
                override fun removeEldestEntry(eldest: Map.Entry<String, Long>) = size > MAX_PARTS
            }

        fun add(parts: List<PromptPart>, nowMillis: Long) =
            parts.forEach { sentMillis[it.id] = nowMillis }

        fun clear() = sentMillis.clear()

        /** Returns the number of tokens before the first part that is probably not in the cache. */
        fun cachedTokens(parts: List<PromptPart>, nowMillis: Long): Int {
            var tokens = 0
            for (part in parts) {
                val millis = sentMillis[part.id]
                if (millis == null || nowMillis - millis > CACHE_MILLIS) break
                tokens += part.tokens
            }
            return tokens
        }
    }

    /**
     * Returns the ids of the servers that all instances prefer for [parts], the first one first.
     */
    fun preferred(parts: List<PromptPart>, records: Collection<ServerRecord>): List<String> {
        val session = parts.lastOrNull() ?: return emptyList()
        val sessionHash = RendezvousHash.hash64(session.id)
        return records
            .sortedByDescending { RendezvousHash.weight(sessionHash, it.idHash) }
            .take(PREFERRED_SERVERS)
            .map { it.entry.id }
    }

    /**
     * Returns the expected number of cached tokens of [parts] at [record]. [preferred] is the
     * result of [preferred] for the same parts.
     */
    fun cachedTokens(
        parts: List<PromptPart>,
        record: ServerRecord,
        preferred: List<String>,
        nowMillis: Long,
    ): Double {
        if (parts.isEmpty()) return 0.0
        val sent = record.sentParts.cachedTokens(parts, nowMillis).toDouble()
        val probability =
            when (preferred.indexOf(record.entry.id)) {
                0 -> FIRST_SERVER_PROBABILITY
                1 -> SECOND_SERVER_PROBABILITY
                else -> return sent
            }
        return maxOf(sent, probability * parts.sumOf { it.tokens })
    }

    private companion object {
        const val INITIAL_CAPACITY = 16
        const val LOAD_FACTOR = 0.75f
        /** About the number of prompts that fit into the memory of a server. */
        const val MAX_PARTS = 512
        /** Time after which other prompts have probably replaced a part in the cache. */
        const val CACHE_MILLIS = 30_000L
        const val PREFERRED_SERVERS = 2
        /** Some sessions are new, and some requests go elsewhere when the server is full. */
        const val FIRST_SERVER_PROBABILITY = 0.5
        const val SECOND_SERVER_PROBABILITY = 0.2
    }
}
