package io.lavenderhinge.core.forwarding

import io.lavenderhinge.core.LruMap

/** A server that holds a prompt part, as one instance reports it to its peers. */
data class PromptHolderReport(
    /** Hash of the part and of all parts before it. */
    val part: Long,
    val serverId: String,
    /** Time since the instance sent the part to the server. */
    val ageMillis: Long,
)

/**
 * Knows which servers of a pool hold which prompt parts, from the requests of this instance and the
 * reports of its peers.
 *
 * Any instance may get the next request with a part, seconds or milliseconds after the first one.
 * With tens of instances, most parts that arrive were sent by another instance last. Each instance
 * therefore reports what it has just sent, with every report for [ANNOUNCED_MILLIS], so that a lost
 * report does no harm. Reports only add knowledge: without them, an instance knows what it sent
 * itself.
 */
internal class PromptHolders {
    private class Announcement(val report: PromptHolderReport, val sentMillis: Long)

    private class PlacedPart(val part: Long, val serverId: String) {
        override fun equals(other: Any?) =
            other is PlacedPart && other.part == part && other.serverId == serverId

        override fun hashCode() = part.hashCode() xor serverId.hashCode()
    }

    /** The servers that got a part last; one that has evicted it since is still listed. */
    private val servers = LruMap<Long, ArrayDeque<ServerRecord>>(MAX_PARTS)
    private val announcements = LruMap<PlacedPart, Announcement>(MAX_ANNOUNCEMENTS)
    private val partSize = MeanPartSize()

    /** What is remembered of each server. */
    var limits = PromptCacheLimits.of(cacheTokens = null, serverCount = 1)

    /** Records that [chain] was sent to [record]. */
    fun onSent(chain: PromptChain, record: ServerRecord, nowMillis: Long) {
        for (index in 0 until chain.size) {
            partSize.add(chain.tokens(index))
            add(chain.hash(index), chain.tokens(index), record, nowMillis)
            announce(chain.hash(index), record, nowMillis)
        }
    }

    // A part that many requests share is announced again only from time to time.
    private fun announce(part: Long, record: ServerRecord, nowMillis: Long) {
        val key = PlacedPart(part, record.entry.id)
        val known = announcements[key]
        if (known != null && nowMillis - known.sentMillis < REPEATED_MILLIS) return
        announcements[key] =
            Announcement(PromptHolderReport(part, key.serverId, ageMillis = 0), nowMillis)
    }

    /** Records that [record] has not run a request with [chain]. */
    fun onNotRun(chain: PromptChain, record: ServerRecord) {
        for (index in 0 until chain.size) {
            record.promptCache.onNotRun(chain.hash(index))
            announcements.remove(PlacedPart(chain.hash(index), record.entry.id))
        }
    }

    /** Records that a peer has sent [part] to [record]. */
    fun onReported(part: Long, record: ServerRecord, ageMillis: Long, nowMillis: Long) =
        add(part, partSize.mean, record, nowMillis - ageMillis.coerceIn(0, limits.ageMillis))

    private fun add(part: Long, tokens: Int, record: ServerRecord, usedMillis: Long) {
        record.promptCache.onUsed(part, tokens, usedMillis, limits)
        val holders = servers.getOrPut(part, ::ArrayDeque)
        if (record in holders) return
        if (holders.size >= MAX_HOLDERS) holders.removeFirst()
        holders.addLast(record)
    }

    /** Returns how many of the first parts of [chain] are in the cache of [record]. */
    fun heldParts(chain: PromptChain, record: ServerRecord, nowMillis: Long): Int {
        for (count in chain.size downTo 1) {
            if (record.promptCache.holds(chain.hash(count - 1), nowMillis, limits)) return count
        }
        return 0
    }

    /** Returns the servers that hold the first [count] parts of [chain]. */
    fun holders(chain: PromptChain, count: Int, nowMillis: Long): List<ServerRecord> {
        val part = chain.hash(count - 1)
        val known = servers[part] ?: return emptyList()
        known.removeAll { !it.promptCache.holds(part, nowMillis, limits) }
        return known
    }

    /** Returns what was sent last, newest first, for the peers. */
    fun reports(nowMillis: Long): List<PromptHolderReport> =
        announcements.values
            .filter { nowMillis - it.sentMillis <= ANNOUNCED_MILLIS }
            .sortedByDescending { it.sentMillis }
            .take(MAX_REPORTED)
            .map { it.report.copy(ageMillis = nowMillis - it.sentMillis) }

    private companion object {
        /** Several times the number of parts that a deployment shares at one time. */
        const val MAX_PARTS = 8_192
        /** A part that more servers hold needs no search for a holder. */
        const val MAX_HOLDERS = 16
        /** What one instance sends in a few seconds at full load. */
        const val MAX_ANNOUNCEMENTS = 512
        /** Spans two reports of a fleet of 79 instances, and several of a small one. */
        const val ANNOUNCED_MILLIS = 700L
        const val REPEATED_MILLIS = 2_000L
        /** Less than a kilobyte of a report. */
        const val MAX_REPORTED = 32
    }
}
