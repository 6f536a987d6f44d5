package io.lavenderhinge.experiments.engine

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.lavenderhinge.experiments.scheduler.PREFIX_BLOCK_TOKENS

class PrefixCacheTest :
    FunSpec({
        test(
            "given a full cache, when a prompt is stored, then the least recently used is evicted"
        ) {
            val cache = PrefixCache(capacityTokens = 4 * PREFIX_BLOCK_TOKENS)
            cache.store(listOf(1, 2))
            cache.store(listOf(11, 12))
            cache.store(listOf(1, 2))
            cache.takeEvents()
            cache.store(listOf(21))

            cache.cachedTokens(listOf(1, 2)) shouldBe 2 * PREFIX_BLOCK_TOKENS
            cache.cachedTokens(listOf(11, 12)) shouldBe PREFIX_BLOCK_TOKENS
            cache.takeEvents().map { it.prefixHash to it.stored } shouldBe
                listOf(21L to true, 12L to false)
        }

        test("given blocks without their head, when looked up, then nothing is found") {
            val cache = PrefixCache(capacityTokens = 4 * PREFIX_BLOCK_TOKENS)
            cache.store(listOf(1, 2))

            cache.cachedTokens(listOf(9, 2)) shouldBe 0
        }
    })
