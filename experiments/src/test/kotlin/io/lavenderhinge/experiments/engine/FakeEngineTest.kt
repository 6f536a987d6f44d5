package io.lavenderhinge.experiments.engine

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.comparables.shouldBeGreaterThan
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.shouldBe

/** Guards against an engine model that deviates from the behavior of continuous batching. */
class FakeEngineTest :
    FunSpec({
        test("given growing batches, when served, then token gaps grow, and faster past the knee") {
            val meanMillis =
                listOf(1, 36, 72, 144).map { count ->
                    val fixture = EngineFixture()
                    fixture.submit(count)
                    fixture.run()
                    fixture.events("completed").map { it.betweenTokensMillis }.average()
                }

            meanMillis.sorted() shouldBe meanMillis
            val slopeBelowKnee = (meanMillis[2] - meanMillis[1]) / 36
            val slopeBeyondKnee = (meanMillis[3] - meanMillis[2]) / 72
            slopeBeyondKnee shouldBeGreaterThan slopeBelowKnee * 1.2
        }

        test("given hardware generations, when iterating at one load, then newer ones are faster") {
            val micros = (1..3).map { HardwareProfile.of(it).iterationMicros(40, 40_000, 256) }

            micros shouldBe micros.sortedDescending()
        }

        test("given more context, when decoding, then an iteration takes longer") {
            val profile = HardwareProfile.of(2)

            profile.iterationMicros(40, 100_000, 0) shouldBeGreaterThan
                profile.iterationMicros(40, 10_000, 0)
        }

        test("given a long prompt, when prefilled during decoding, then tokens are delayed") {
            val alone = EngineFixture()
            alone.engine.submit(job("short"))
            alone.run()
            val beside = EngineFixture()
            beside.engine.submit(job("short"))
            beside.engine.submit(job("long", promptTokens = 10_000))
            beside.run()

            val aloneMillis = alone.events("completed").single().betweenTokensMillis
            val besideMillis = beside.events("completed").first().betweenTokensMillis
            besideMillis shouldBeGreaterThan aloneMillis * 1.3
        }

        test("given a full batch, when more arrive, then they start in arrival order") {
            val fixture = EngineFixture()
            fixture.submit(300)
            fixture.run(seconds = 1)

            fixture.engine.load().waiting shouldBe 300 - HardwareProfile.of(2).maxSequences
            fixture.run()
            fixture.events("first").map { it.requestId } shouldBe List(300) { "r$it" }
        }

        test("given a cached prompt, when it is sent again, then only its last token is computed") {
            val fixture = EngineFixture()
            val repeat = job("second", promptTokens = 6_400, firstBlock = 1)
            fixture.engine.submit(job("first", promptTokens = 6_400, firstBlock = 1))
            fixture.run()
            fixture.engine.submit(repeat)
            fixture.run()

            fixture.events("first").map { it.cachedPrefixTokens } shouldBe listOf(0, 6_399)
            repeat.prefilledTokens shouldBe 1
        }

        test("given a slowdown of 4, when served, then time between tokens is 4 times as long") {
            val fixture = EngineFixture()
            fixture.engine.submit(job("a"))
            fixture.run()
            fixture.engine.slowdownFactor = 4.0
            fixture.engine.submit(job("b"))
            fixture.run()

            val (normal, slow) = fixture.events("completed").map { it.betweenTokensMillis }
            (slow / normal * 10).toInt() shouldBe 40
        }

        test(
            "given a crash, when restarted, then requests have failed once and the cache is empty"
        ) {
            val fixture = EngineFixture()
            fixture.submit(300)
            fixture.run(seconds = 1)
            fixture.engine.crash()
            fixture.run()
            fixture.events("failed").size shouldBe 300 - fixture.events("completed").size
            fixture.engine.cachedTokens(job("r0").request.prefixHashes) shouldBe 0

            fixture.engine.restart()
            fixture.engine.submit(job("later"))
            fixture.run()
            fixture.events("completed").last().requestId shouldBe "later"
        }

        test("given a suspended stream, when resumed, then it completes with all its tokens once") {
            val fixture = EngineFixture()
            fixture.submit(1, outputTokens = 100)
            fixture.run(seconds = 1)
            fixture.engine.suspend("r0") shouldBe true
            fixture.run()
            fixture.events("completed").size shouldBe 0
            fixture.engine.load().running shouldBe 0

            fixture.engine.resume("r0") shouldBe true
            fixture.run()
            fixture.events("completed").map { it.outputTokens } shouldBe listOf(100)
            fixture.events("first").size shouldBe 1
        }

        test("given a cancelled stream, when time passes, then it causes no more events") {
            val fixture = EngineFixture()
            fixture.submit(2)
            fixture.run(seconds = 0)
            fixture.engine.cancel("r0")
            fixture.run()

            fixture.events.map { it.requestId }.toSet() shouldBe setOf("r1")
        }

        test(
            "given a draining engine, when a request comes, then it is refused and others complete"
        ) {
            val fixture = EngineFixture()
            fixture.submit(1)
            fixture.engine.startDraining()

            fixture.engine.submit(job("late"))?.draining shouldBe true
            fixture.run()
            fixture.events("completed").map { it.requestId } shouldBe listOf("r0")
        }

        test("given a restart, when cache events follow, then their sequence numbers continue") {
            val fixture = EngineFixture()
            fixture.submit(1)
            fixture.run()
            val before = fixture.engine.takeCacheEvents()
            fixture.engine.crash()
            fixture.engine.restart()
            fixture.submit(1)
            fixture.run()

            val after = fixture.engine.takeCacheEvents()
            before.last().sequence shouldBeLessThan after.first().sequence
        }
    })
