package io.lavenderhinge.core.scheduling

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.lavenderhinge.core.port.CacheEvent

class PrefixCacheEstimateTest :
    FunSpec({
        test("given a dispatched prompt, when another shares its prefix, then that part is a hit") {
            val estimate = PrefixCacheEstimate().apply { recordDispatch(listOf(1, 2, 3)) }

            estimate.expectedTokens(listOf(1, 2, 9)) shouldBe 128
        }

        test(
            "given a delayed eviction event, when the prefix is looked up, then no hit is expected"
        ) {
            val estimate = PrefixCacheEstimate().apply { recordDispatch(listOf(1)) }
            estimate.applyCacheEvents(
                listOf(CacheEvent(sequence = 1, prefixHash = 1, stored = false))
            )

            estimate.expectedTokens(listOf(1)) shouldBe 0
        }

        test("given a gap in the events, when a prefix is looked up, then the hit is discounted") {
            val estimate = PrefixCacheEstimate().apply { recordDispatch(listOf(1)) }
            estimate.applyCacheEvents(listOf(CacheEvent(1, prefixHash = 8, stored = true)))
            estimate.applyCacheEvents(listOf(CacheEvent(5, prefixHash = 9, stored = true)))

            estimate.expectedTokens(listOf(1)) shouldBe 51
        }

        test(
            "given a full estimate, when a hash is added, then the least recently used is evicted"
        ) {
            val estimate = PrefixCacheEstimate(capacity = 2)
            listOf(1L, 2L, 3L).forEach { estimate.recordDispatch(listOf(it)) }

            estimate.size shouldBe 2
            estimate.expectedTokens(listOf(1)) shouldBe 0
        }
    })
