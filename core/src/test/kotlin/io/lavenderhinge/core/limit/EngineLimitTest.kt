package io.lavenderhinge.core.limit

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeInRange
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe

class EngineLimitTest :
    FunSpec({
        /** Simulates a saturated engine whose time between tokens grows linearly with the batch. */
        fun converged(baseMicros: Long, perSequenceMicros: Long): Int {
            val limit = EngineLimit()
            repeat(4_000) {
                val batch = limit.sequences.toDouble()
                val micros = baseMicros + (perSequenceMicros * batch).toLong()
                limit.observe(LimitSample(100, micros, 10.0, batch, batch * 1_000), it * 100L)
            }
            return limit.sequences
        }

        test("given a slow generation, when saturated, then the limit ends below the target load") {
            // Misses 46 ms beyond 63 sequences.
            converged(baseMicros = 14_500, perSequenceMicros = 500) shouldBeInRange 50..63
        }

        test("given a fast generation, when saturated, then the limit ends below the target load") {
            // Misses 46 ms beyond 380 sequences.
            converged(baseMicros = 8_000, perSequenceMicros = 100) shouldBeInRange 320..380
        }

        test("given an engine that misses the target with one request, then the limit is one") {
            converged(baseMicros = 80_000, perSequenceMicros = 500) shouldBe 1
        }

        test("given late samples of a low load, when the limit is high, then it is not lowered") {
            val limit = EngineLimit(EngineLimitSettings(initialSequences = 50.0))
            repeat(100) { limit.observe(LimitSample(100, 20_000, 10.0, 2.0, 2_000.0), 0) }

            limit.sequences shouldBe 50
        }

        test(
            "given a queue inside the engine, when reported, then the limit is the running count"
        ) {
            val limit = EngineLimit(EngineLimitSettings(initialSequences = 50.0))
            repeat(2) { limit.onLoadReported(running = 12, waiting = 5, nowMillis = it * 500L) }

            limit.sequences shouldBe 12
        }

        test("given first tokens above target, when a window is full, then the limit is lowered") {
            val limit = EngineLimit(EngineLimitSettings(initialSequences = 50.0))
            repeat(40) { limit.observe(LimitSample(3_000, 0, 100.0, 50.0, 50_000.0), 0) }

            limit.sequences shouldBeLessThanOrEqual 45
        }

        test("given prompts whose prefill alone exceeds the target, then the limit is unchanged") {
            val limit = EngineLimit(EngineLimitSettings(initialSequences = 50.0))
            repeat(80) { limit.observe(LimitSample(3_000, 0, 2_500.0, 50.0, 50_000.0), 0) }

            limit.sequences shouldBe 50
        }
    })
