package io.lavenderhinge.core.scheduling

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.lavenderhinge.core.port.CacheEvent

class PrefixHistoryTest :
    FunSpec({
        test("given a dispatched prompt, when one shares its head, then that part is expected") {
            val history = PrefixHistory().apply { dispatched(listOf(1, 2, 3)) }

            history.expectedTokens(listOf(1, 2, 9)) shouldBe 128
        }

        test("given a late eviction, when a prompt asks for it, then no hit is expected") {
            val history = PrefixHistory().apply { dispatched(listOf(1)) }
            history.changed(listOf(CacheEvent(sequence = 1, prefixHash = 1, stored = false)))

            history.expectedTokens(listOf(1)) shouldBe 0
        }

        test("given a gap in the events, when a prompt asks, then the hit counts less, not zero") {
            val history = PrefixHistory().apply { dispatched(listOf(1)) }
            history.changed(listOf(CacheEvent(1, prefixHash = 8, stored = true)))
            history.changed(listOf(CacheEvent(5, prefixHash = 9, stored = true)))

            history.expectedTokens(listOf(1)) shouldBe 51
        }

        test("given more hashes than fit, when one is added, then the least recent is forgotten") {
            val history = PrefixHistory(capacity = 2)
            listOf(1L, 2L, 3L).forEach { history.dispatched(listOf(it)) }

            history.size shouldBe 2
            history.expectedTokens(listOf(1)) shouldBe 0
        }
    })
