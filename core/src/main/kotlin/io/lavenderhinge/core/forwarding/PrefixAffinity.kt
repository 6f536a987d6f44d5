package io.lavenderhinge.core.forwarding

import io.lavenderhinge.core.LruMap
import io.lavenderhinge.core.membership.RendezvousHash

/**
 * Estimates how much of a prompt is in the cache of a server.
 *
 * An instance knows only what it sent itself. Requests that share parts arrive at any instance of a
 * failure domain, so all of these prefer the same two servers for a prompt, by rendezvous hashing
 * of its last shared part: a part that an instance has not sent itself is probably there. The last
 * part of a prompt often belongs to one request alone, and counts as shared only if it was seen
 * before.
 */
internal class PrefixAffinity {
    private val seenParts = LruMap<String, Unit>(MAX_SEEN_PARTS)

    /**
     * The servers that are preferred for a prompt, and the tokens that are probably cached there.
     */
    class Preference(val serverIds: List<String>, val sharedTokens: Int)

    /** The prompt parts that were sent to one server, and when. */
    class SentParts {
        private val sentMillis = LruMap<String, Long>(MAX_SENT_PARTS)

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

    /** Remembers the [parts] of a request that was sent. */
    fun onSent(parts: List<PromptPart>) = parts.forEach { seenParts[it.id] = Unit }

    /** Returns those of [records] that are preferred for [parts]; null if nothing is shared. */
    fun preference(parts: List<PromptPart>, records: Collection<ServerRecord>): Preference? {
        val last = parts.lastOrNull() ?: return null
        val shared = if (last.id in seenParts) parts else parts.dropLast(1)
        val key = shared.lastOrNull() ?: return null
        val keyHash = RendezvousHash.hash64(key.id)
        val first = heaviest(records, keyHash, except = null)
        val second = heaviest(records, keyHash, except = first)
        val serverIds = listOfNotNull(first, second).map { it.entry.id }
        return Preference(serverIds, shared.sumOf { it.tokens })
    }

    // Two passes are cheaper than sorting the servers for each request.
    private fun heaviest(
        records: Collection<ServerRecord>,
        keyHash: ULong,
        except: ServerRecord?,
    ): ServerRecord? {
        var heaviest: ServerRecord? = null
        var maxWeight = ULong.MIN_VALUE
        records.forEach { record ->
            val weight = RendezvousHash.weight(keyHash, record.idHash)
            if (record !== except && (heaviest == null || weight > maxWeight)) {
                heaviest = record
                maxWeight = weight
            }
        }
        return heaviest
    }

    /** Returns the expected number of cached tokens of [parts] at [record]. */
    fun cachedTokens(
        parts: List<PromptPart>,
        record: ServerRecord,
        preference: Preference?,
        nowMillis: Long,
    ): Double {
        if (parts.isEmpty()) return 0.0
        val sent = record.sentParts.cachedTokens(parts, nowMillis).toDouble()
        val probability =
            when (preference?.serverIds?.indexOf(record.entry.id)) {
                0 -> FIRST_SERVER_PROBABILITY
                1 -> SECOND_SERVER_PROBABILITY
                else -> return sent
            }
        return maxOf(sent, probability * preference.sharedTokens)
    }

    private companion object {
        /** About the number of prompts that fit into the memory of a server. */
        const val MAX_SENT_PARTS = 512
        /** Several times the number of parts that a deployment shares at one time. */
        const val MAX_SEEN_PARTS = 4_096
        /** Time after which other prompts have probably replaced a part in the cache. */
        const val CACHE_MILLIS = 30_000L
        /** Some parts are new, and some requests go elsewhere when the server is full. */
        const val FIRST_SERVER_PROBABILITY = 0.8
        const val SECOND_SERVER_PROBABILITY = 0.4
    }
}
