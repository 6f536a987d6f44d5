package io.lavenderhinge.core.scheduling

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.lavenderhinge.core.Tier
import io.lavenderhinge.core.limit.EngineLimit
import io.lavenderhinge.core.port.LoadReport
import kotlin.random.Random

/** Guards against leaked slots and duplicate grants under arbitrary event orders. */
class HomeRandomTest :
    FunSpec({
        test("given random events, when all requests have ended, then all slots are free") {
            for (seed in 1..40) withClue("seed $seed") { run(Random(seed)) }
        }
    }) {
    private companion object {
        val ENTRIES = listOf("entry-0", "entry-1", "entry-2")

        fun run(random: Random) {
            val home = Home("s", EngineLimit(), HomeSettings(queueCapacity = 30))
            val granted = HashSet<GrantRequestKey>()
            var nowMillis = 0L
            repeat(3_000) { step ->
                nowMillis += random.nextLong(20)
                for (effect in home.handle(event(step, granted, random, nowMillis), nowMillis)) {
                    if (effect !is HomeEffect.Grant) continue
                    withClue(effect) {
                        granted.add(GrantRequestKey(effect.entryId, effect.grantRequestId)) shouldBe
                            true
                    }
                }
            }
            home.handle(HomeEvent.Closed(RefusalReason.SHUTDOWN), nowMillis)
            for (number in 0..3_000) {
                for (entry in ENTRIES) {
                    home.handle(
                        HomeEvent.Released(GrantRequestKey(entry, "request-$number")),
                        nowMillis,
                    )
                }
            }
            val status = home.status(nowMillis)
            status.inService shouldBe 0
            status.contextTokens shouldBe 0
            status.waiting.sum() shouldBe 0
        }

        fun event(
            step: Int,
            granted: Set<GrantRequestKey>,
            random: Random,
            nowMillis: Long,
        ): HomeEvent {
            val known =
                if (granted.isEmpty()) GrantRequestKey("none", "none") else granted.random(random)
            return when (random.nextInt(16)) {
                in 0..5 -> HomeEvent.Requested(request("request-$step", random, nowMillis))
                in 6..9 -> HomeEvent.Finished(known, result(random))
                10 ->
                    HomeEvent.Released(
                        GrantRequestKey(
                            ENTRIES.random(random),
                            "request-${random.nextInt(step + 1)}",
                        )
                    )
                11 ->
                    HomeEvent.Registered(
                        request("request-${random.nextInt(step + 1)}", random, nowMillis)
                    )
                12 -> HomeEvent.LinkLost(ENTRIES.random(random))
                13 -> HomeEvent.LoadReported(LoadReport(random.nextInt(40), 0, 0, "1", 200))
                else -> HomeEvent.Tick
            }
        }

        fun request(id: String, random: Random, nowMillis: Long) =
            GrantRequest(
                grantRequestId = id,
                entryId = ENTRIES.random(random),
                tier = Tier.entries.random(random),
                workspace = "workspace-${random.nextInt(5)}",
                weight = 1.0 + random.nextInt(3),
                promptTokens = random.nextInt(8_000),
                outputTokens = random.nextInt(1_000),
                deadlineMillis = nowMillis + random.nextLong(60_000),
                mayPreempt = random.nextInt(4) == 0,
            )

        fun result(random: Random) =
            SlotResult(
                ResultClass.entries.random(random),
                firstTokenMillis = random.nextLong(2_000),
                betweenTokensMicros = random.nextLong(60_000),
                outputTokens = random.nextInt(500),
            )
    }
}
