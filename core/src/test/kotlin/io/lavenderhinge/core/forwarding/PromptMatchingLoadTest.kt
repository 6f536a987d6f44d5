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
    seed: Int,
    tokensPerMillis: Double,
    work: (Random) -> PromptWork,
): PromptResult {
    val load = PromptLoad(perSecond, durationMillis = 20_000, targetMillis = 610, work)
    return PromptSimulation(instances, servers(seed, tokensPerMillis), mode, CACHE_TOKENS.toLong())
        .run(load, seed, warmUpMillis = 4_000)
        .also { println("$mode, $instances instances, $perSecond/s, seed $seed: $it") }
}

class PromptMatchingLoadTest :
    FunSpec({
        // Guards against reading a subject on one server after the other, because the instance
        // that gets a request does not know what another one has just sent.
        test("given subjects that recur at any instance, then few are read again") {
            val off = simulate(FeatureMode.OFF, 17, 200.0, 1, 30.0, ::subjectWork)
            val on = simulate(FeatureMode.ON, 17, 200.0, 1, 30.0, ::subjectWork)

            on.tokens.repeated shouldBeLessThan off.tokens.repeated / 2
            on.onTime shouldBeGreaterThan off.onTime
        }

        // Guards against a long part that each of its continuations takes to another server.
        test("given long parts whose continuations are new, then few are read again") {
            val off = simulate(FeatureMode.OFF, 17, 200.0, 1, 93.0, ::familyWork)
            val on = simulate(FeatureMode.ON, 17, 200.0, 1, 93.0, ::familyWork)

            on.tokens.repeated shouldBeLessThan off.tokens.repeated / 3
            on.onTime shouldBeGreaterThan off.onTime
        }
    })
