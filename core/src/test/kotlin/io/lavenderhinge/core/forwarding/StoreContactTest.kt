package io.lavenderhinge.core.forwarding

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe

/** Guards against relying on a store that delivers nothing, and against doubting one that does. */
class StoreContactTest :
    FunSpec({
        fun answeredAt(nowMillis: Long) =
            StoreContact(staleAfterMillis = 3_000).apply { onAnswer(nowMillis) }

        test("given no answer yet, then the store is lost") {
            StoreContact(staleAfterMillis = 3_000).isLost(nowMillis = 0) shouldBe true
        }

        test("given an answer, then the store is lost once it is stale") {
            val contact = answeredAt(1_000)

            contact.isLost(nowMillis = 3_999) shouldBe false
            contact.isLost(nowMillis = 4_000) shouldBe true
        }

        test("given a watch that was cut, then the store is not lost") {
            val contact = answeredAt(1_000)
            contact.onFailedCall(nowMillis = 1_100)

            contact.isLost(nowMillis = 1_200) shouldBe false
        }

        test("given two failed calls in a row, then the store is lost until it answers") {
            val contact = answeredAt(1_000)
            contact.onFailedCall(nowMillis = 1_100)
            contact.onFailedCall(nowMillis = 1_110)
            contact.isLost(nowMillis = 1_110) shouldBe true

            contact.onAnswer(nowMillis = 1_500)

            contact.isLost(nowMillis = 1_500) shouldBe false
            contact.onFailedCall(nowMillis = 1_600)
            contact.isLost(nowMillis = 1_600) shouldBe false
        }

        test("given peers that are ahead, then the store is lost until it answers") {
            val contact = answeredAt(1_000)
            contact.onOvertaken(nowMillis = 1_100)
            contact.isLost(nowMillis = 1_100) shouldBe true

            contact.onAnswer(nowMillis = 1_500)

            contact.isLost(nowMillis = 1_500) shouldBe false
        }
    })
