package io.lavenderhinge.core.forwarding

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe

/** Guards against expecting parts in a cache that cannot hold them any more. */
class PromptCacheTest :
    FunSpec({
        val limits = PromptCacheLimits(tokens = 100, parts = 3, ageMillis = 1_000)

        fun PromptCache.held(nowMillis: Long = 10) =
            (1L..6L).filter { holds(it, nowMillis, limits) }

        test("given more tokens than fit, then the least recently used parts are evicted") {
            val cache = PromptCache()

            cache.onUsed(1, tokens = 40, usedMillis = 1, limits)
            cache.onUsed(2, tokens = 40, usedMillis = 2, limits)
            cache.onUsed(1, tokens = 40, usedMillis = 3, limits)
            cache.onUsed(3, tokens = 40, usedMillis = 4, limits)

            cache.held() shouldBe listOf(1L, 3L)
        }

        test("given many small parts, then their number is bounded") {
            val cache = PromptCache()

            (1L..6L).forEach { cache.onUsed(it, tokens = 1, usedMillis = it, limits) }

            cache.held() shouldBe listOf(4L, 5L, 6L)
            cache.size shouldBe 3
        }

        test("given a use that is long ago, then the part does not count as held") {
            val cache = PromptCache().apply { onUsed(1, tokens = 1, usedMillis = 0, limits) }

            cache.held(nowMillis = 1_000) shouldBe listOf(1L)
            cache.held(nowMillis = 1_001) shouldBe emptyList()
        }

        test("given a late report, then it does not make a part older") {
            val cache = PromptCache().apply { onUsed(1, tokens = 1, usedMillis = 900, limits) }

            cache.onUsed(1, tokens = 1, usedMillis = 100, limits)

            cache.held(nowMillis = 1_500) shouldBe listOf(1L)
        }

        // Guards against sending a prompt to a server that was full when it should have read it.
        test("given a request that was not run, then its part is held only if it was before") {
            val cache = PromptCache()
            listOf(1L, 1L, 2L).forEach { cache.onUsed(it, tokens = 1, usedMillis = 0, limits) }

            cache.onNotRun(1)
            cache.onNotRun(2)

            cache.held() shouldBe listOf(1L)
        }

        test("given a restarted server, then nothing is held") {
            val record = ServerRecord(server("a"))
            record.promptCache.onUsed(1, tokens = 1, usedMillis = 0, limits)

            record.reset()

            record.promptCache.held() shouldBe emptyList()
        }
    })
