package io.lavenderhinge.core.forwarding

/** A prompt and the rest of the work of a simulated request. */
internal class PromptWork(
    val parts: List<PromptPart>,
    /** Tokens of the request itself, which belong to no part. */
    val ownTokens: Int,
    val events: Int,
)

/** How a simulated request went at its server. Times are absolute. */
internal class PromptRun(val firstEventMillis: Long, val endMillis: Long)

/**
 * A simulated model server. It reads prompts one after the other and keeps the parts in a cache of
 * [cacheTokens]; events of its requests are produced side by side.
 */
internal class PromptServer(
    val id: String,
    val slots: Int,
    private val cacheTokens: Int,
    private val tokensPerMillis: Double,
    private val stepMillis: Double,
    /** Time that work takes relative to the usual time. */
    private val slowness: (nowMillis: Long) -> Double,
) {
    /** Tokens of all prompts, those that were read, and those that some server had read before. */
    class Counts(var prompt: Long = 0, var processed: Long = 0, var repeated: Long = 0)

    private val cache = LinkedHashMap<Long, Int>()
    private val slotFreeMillis = LongArray(slots)
    private var readFreeMillis = 0.0

    /** Runs [work] that arrives at [nowMillis]; [known] are the parts that any server has read. */
    fun run(work: PromptWork, nowMillis: Long, known: MutableSet<Long>, counts: Counts): PromptRun {
        val slot = slotFreeMillis.indices.minBy { slotFreeMillis[it] }
        val startMillis = maxOf(nowMillis, slotFreeMillis[slot])
        val tokens = read(work, known, counts)
        val factor = slowness(nowMillis)
        readFreeMillis =
            maxOf(startMillis.toDouble(), readFreeMillis) + tokens / tokensPerMillis * factor
        val firstMillis = readFreeMillis + stepMillis * factor
        val endMillis = firstMillis + stepMillis * factor * (work.events - 1)
        slotFreeMillis[slot] = endMillis.toLong()
        return PromptRun(firstMillis.toLong(), endMillis.toLong())
    }

    /** Returns the tokens that have to be read. */
    private fun read(work: PromptWork, known: MutableSet<Long>, counts: Counts): Int {
        val chain = PromptChain(work.parts)
        var tokens = work.ownTokens
        var isHeld = true
        for (index in 0 until chain.size) {
            val hash = chain.hash(index)
            isHeld = isHeld && cache.remove(hash) != null
            cache[hash] = chain.tokens(index)
            counts.prompt += chain.tokens(index)
            if (isHeld) continue
            tokens += chain.tokens(index)
            if (!known.add(hash)) counts.repeated += chain.tokens(index)
        }
        counts.prompt += work.ownTokens
        counts.processed += tokens
        evict()
        return tokens
    }

    private fun evict() {
        var total = cache.values.sum()
        val oldest = cache.values.iterator()
        while (total > cacheTokens) {
            total -= oldest.next()
            oldest.remove()
        }
    }
}
