package io.lavenderhinge.core.forwarding

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.longs.shouldBeLessThan
import kotlin.random.Random

private const val SERVERS = 24
private const val CACHE_TOKENS = 444_000
private const val SUBJECTS = 1_300
private const val FAMILIES = 200

private val SLOWNESS = listOf(0.68, 0.68, 3.0)

/** A sixth of the servers takes 2.5 times as long; which ones changes every 600 ms. */
private fun servers(seed: Int, tokensPerMillis: Double): List<PromptServer> =
    List(SERVERS) { number ->
        PromptServer("s$number", 4, CACHE_TOKENS, tokensPerMillis, stepMillis = 3.29) { nowMillis ->
            val isBusy =
                Random(seed * 7_919 + (nowMillis / 600).toInt() * 31 + number).nextInt(6) == 0
            SLOWNESS[number % SLOWNESS.size] * if (isBusy) 2.5 else 1.0
        }
    }

/** A subject follows the common part of its workspace, and each request adds a few tokens. */
private fun subjectWork(random: Random): PromptWork {
    val subject = (SUBJECTS * random.nextDouble() * random.nextDouble()).toInt()
    return PromptWork(
        listOf(
            PromptPart("workspace-${subject % 16}", 800),
            PromptPart("subject-$subject", 1_200 + subject % 7 * 400),
        ),
        ownTokens = 100 + random.nextInt(200),
        events = 20 + random.nextInt(100),
    )
}

/** One of the families has a fifth of the requests; the last part is of one request alone. */
private fun familyWork(random: Random): PromptWork {
    val family = if (random.nextInt(5) == 0) 0 else random.nextInt(FAMILIES)
    return PromptWork(
        listOf(
            PromptPart("system", 500),
            PromptPart("family-$family", 13_000),
            PromptPart("own-${random.nextLong()}", 300),
        ),
        ownTokens = 0,
        events = 20 + random.nextInt(100),
    )
}

private fun simulate(
    mode: FeatureMode,
    instances: Int,
    perSecond: Double,
    tokensPerMillis: Double,
    work: (Random) -> PromptWork,
    lossFraction: Double = 0.0,
): PromptResult {
    val seed = 1
    val load = PromptLoad(perSecond, durationMillis = 14_000, targetMillis = 610, work)
    val losses = Random(seed)
    return PromptSimulation(
            instances,
            servers(seed, tokensPerMillis),
            mode,
            CACHE_TOKENS.toLong(),
            isLost = { _, _, _ -> losses.nextDouble() < lossFraction },
        )
        .run(load, seed, warmUpMillis = 4_000)
        .also { println("prompt-matching $mode, $instances instances, $perSecond/s: $it") }
}

class PromptMatchingLoadTest :
    FunSpec({
        // Guards against reading a subject on one server after the other, because the instance
        // that gets a request does not know what another one has just sent.
        test("given subjects at 0.6 of the capacity, then few are read again") {
            val off = simulate(FeatureMode.OFF, 17, 200.0, 30.0, ::subjectWork)
            val on = simulate(FeatureMode.ON, 17, 200.0, 30.0, ::subjectWork)

            on.tokens.repeated shouldBeLessThan off.tokens.repeated / 4
            on.onTime shouldBeGreaterThan off.onTime
        }

        // Guards against agreed places and holders that depend on each report.
        test("given that half of the reports are lost, then few subjects are read again") {
            val off = simulate(FeatureMode.OFF, 17, 200.0, 30.0, ::subjectWork, lossFraction = 0.5)
            val on = simulate(FeatureMode.ON, 17, 200.0, 30.0, ::subjectWork, lossFraction = 0.5)

            on.tokens.repeated shouldBeLessThan off.tokens.repeated / 4
        }

        // Guards against a freed slot that takes the oldest request wherever its prompt is held,
        // and against a long part that each of its continuations takes to another server.
        test("given long parts at twice the capacity, then a quarter is read again") {
            val off = simulate(FeatureMode.OFF, 17, 350.0, 93.0, ::familyWork)
            val on = simulate(FeatureMode.ON, 17, 350.0, 93.0, ::familyWork)

            on.tokens.repeated shouldBeLessThan off.tokens.repeated / 4
            on.onTime shouldBeGreaterThan off.onTime * 3 / 2
        }

        // Guards against matching that works only if reports come often.
        test("given 61 instances and subjects in overload, then more requests are on time") {
            val off = simulate(FeatureMode.OFF, 61, 350.0, 30.0, ::subjectWork)
            val on = simulate(FeatureMode.ON, 61, 350.0, 30.0, ::subjectWork)

            on.tokens.repeated shouldBeLessThan off.tokens.repeated / 2
            on.onTime shouldBeGreaterThan off.onTime
        }
    })
