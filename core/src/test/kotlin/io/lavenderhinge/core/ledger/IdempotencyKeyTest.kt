package io.lavenderhinge.core.ledger

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlin.random.Random

class IdempotencyKeyTest :
    FunSpec({
        val nowMillis = 1_780_000_000_000L
        fun parse(text: String, acceptUntimed: Boolean = false) =
            IdempotencyKey.parse("w", text, nowMillis, acceptUntimed)

        test("given a generated key, when parsed, then its creation time is preserved") {
            val key = IdempotencyKey.generate("w", nowMillis, Random(1))
            parse(key.text).getOrNull() shouldBe key
        }

        test("given epoch seconds, when parsed, then they are the creation time") {
            parse("1779999999-order-7").getOrNull()?.createdAtMillis shouldBe 1_779_999_999_000L
        }

        test("given a UUID of another version, then it is untimed and rejected unless accepted") {
            val text = "8f14e45f-ceea-467f-a8f6-0123456789ab"
            parse(text).leftOrNull() shouldBe KeyFault.Untimed
            parse(text, acceptUntimed = true).getOrNull()?.createdAtMillis shouldBe null
        }

        test("given a key far ahead of the clock, then it is rejected, as it would pin a segment") {
            parse("1780009999-x").leftOrNull().shouldBeInstanceOf<KeyFault.InFuture>()
        }

        test("given spaces, control characters or excess length, then the key is malformed") {
            listOf("", "a b", "a\tb", "x".repeat(129)).forEach {
                parse(it, acceptUntimed = true).leftOrNull() shouldBe KeyFault.Malformed
            }
        }
    })
