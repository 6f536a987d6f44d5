package io.lavenderhinge.core.forwarding

/**
 * The prompt parts that one run of a server probably holds in its cache. Like the server, it evicts
 * the least recently used parts once the cache is full.
 */
internal class PromptCache {
    private class HeldPart(val tokens: Int, val usedMillis: Long, val uses: Int)

    // In the order of use; a part is inserted again when it is used.
    private val parts = LinkedHashMap<Long, HeldPart>()
    private var totalTokens = 0L

    /** Number of parts that are remembered. */
    val size: Int
        get() = parts.size

    /**
     * Records that the part [hash] of [tokens] tokens was used at [usedMillis], and evicts parts
     * until the rest fits into [limits].
     */
    fun onUsed(hash: Long, tokens: Int, usedMillis: Long, limits: PromptCacheLimits) {
        val known = parts[hash]
        // A late report does not make a part older.
        if (known != null && known.usedMillis > usedMillis) return
        parts.remove(hash)
        parts[hash] = HeldPart(tokens, usedMillis, uses = (known?.uses ?: 0) + 1)
        totalTokens += tokens - (known?.tokens ?: 0)
        evict(limits)
    }

    private fun evict(limits: PromptCacheLimits) {
        val oldest = parts.values.iterator()
        while (parts.size > limits.parts || totalTokens > limits.tokens) {
            if (!oldest.hasNext()) return
            totalTokens -= oldest.next().tokens
            oldest.remove()
        }
    }

    /** Returns true if the part [hash] is probably in the cache. */
    fun holds(hash: Long, nowMillis: Long, limits: PromptCacheLimits): Boolean {
        val part = parts[hash] ?: return false
        return nowMillis - part.usedMillis <= limits.ageMillis
    }

    /** Takes back a use of the part [hash], because the server has not run the request. */
    fun onNotRun(hash: Long) {
        val part = parts[hash] ?: return
        if (part.uses > 1) return
        parts.remove(hash)
        totalTokens -= part.tokens
    }

    /** Forgets all parts, because the server has started again. */
    fun clear() {
        parts.clear()
        totalTokens = 0
    }
}
