package io.lavenderhinge.core.scheduling

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.lavenderhinge.core.port.CacheEvent

class PrefixCacheEstimateTest :
    FunSpec({
        test("given a dispatched prompt, when one shares its head, then that part is expected") {
            val estimate = PrefixCacheEstimate().apply { recordDispatch(listOf(1, 2, 3)) }

            estimate.expectedTokens(listOf(1, 2, 9)) shouldBe 128
        }

        test("given a late eviction, when a prompt asks for it, then no hit is expected") {
            val estimate = PrefixCacheEstimate().apply { recordDispatch(listOf(1)) }
            estimate.applyCacheEvents(
                listOf(CacheEvent(sequence = 1, prefixHash = 1, stored = false))
            )

            estimate.expectedTokens(listOf(1)) shouldBe 0
        }

        test("given a gap in the events, when a prompt asks, then the hit counts less, not zero") {
            val estimate = PrefixCacheEstimate().apply { recordDispatch(listOf(1)) }
            estimate.applyCacheEvents(listOf(CacheEvent(1, prefixHash = 8, stored = true)))
            estimate.applyCacheEvents(listOf(CacheEvent(5, prefixHash = 9, stored = true)))

            estimate.expectedTokens(listOf(1)) shouldBe 51
        }

        test("given more hashes than fit, when one is added, then the least recent is forgotten") {
            val estimate = PrefixCacheEstimate(capacity = 2)
            listOf(1L, 2L, 3L).forEach { estimate.recordDispatch(listOf(it)) }

            estimate.size shouldBe 2
            estimate.expectedTokens(listOf(1)) shouldBe 0
        }
    })
