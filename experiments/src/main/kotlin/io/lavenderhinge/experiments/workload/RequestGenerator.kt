package io.lavenderhinge.experiments.workload

import io.lavenderhinge.core.settings.Target
import io.lavenderhinge.experiments.engine.BackendJob
import io.lavenderhinge.experiments.scheduler.PREFIX_BLOCK_TOKENS
import io.lavenderhinge.experiments.scheduler.ScheduledRequest
import kotlin.random.Random
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toImmutableList

/** Generates random requests of a deployment; equal seeds yield equal sequences. */
class RequestGenerator(private val deployment: Deployment, seed: Long) {
    private val random = seededRandom(seed, "requests")
    private val templateSeed = seed
    private val routeShares = deployment.routes.map { it.shareFraction }
    private val workspaceShares = deployment.workspaces.map { it.shareFraction }
    private val templates = HashMap<String, List<Long>>()
    private var nextNumber = 0L

    /** Generates a request on a random route that arrives at [nowMillis]. */
    fun next(nowMillis: Long): BackendJob =
        next(deployment.routes[pickWeighted(routeShares, random)], nowMillis)

    /** Generates a request on the route of [profile] that arrives at [nowMillis]. */
    fun next(profile: RouteProfile, nowMillis: Long): BackendJob {
        val workspace = deployment.workspaces[pickWeighted(workspaceShares, random)]
        return when (profile.route.target) {
            is Target.Model -> modelJob(profile, workspace, nowMillis)
            is Target.Service -> serviceJob(profile, workspace, nowMillis)
        }
    }

    private fun modelJob(
        profile: RouteProfile,
        workspace: WorkspaceProfile,
        nowMillis: Long,
    ): BackendJob {
        val template = template(profile, workspace)
        val uniqueTokens = profile.uniqueTokens.sample(random)
        val outputTokens = profile.outputTokens.sample(random)
        val request =
            request(profile, workspace, nowMillis)
                .copy(
                    promptTokens = template.size * PREFIX_BLOCK_TOKENS + uniqueTokens,
                    maxOutputTokens = randomMaxOutputTokens(outputTokens),
                    prefixHashes = prefixHashes(template, uniqueTokens),
                )
        return BackendJob(request, outputTokens)
    }

    private fun serviceJob(
        profile: RouteProfile,
        workspace: WorkspaceProfile,
        nowMillis: Long,
    ): BackendJob {
        val serviceMicros = profile.serviceMillis.sample(random) * 1_000L
        return BackendJob(request(profile, workspace, nowMillis), outputTokens = 0, serviceMicros)
    }

    private fun request(profile: RouteProfile, workspace: WorkspaceProfile, nowMillis: Long) =
        ScheduledRequest(
            id = "request-${nextNumber++}",
            workspace = workspace.id,
            weight = workspace.weight,
            route = profile.route.name,
            target = profile.route.target,
            version = "1",
            tier = profile.route.tier,
            idempotent = profile.route.idempotent,
            promptTokens = 0,
            maxOutputTokens = 0,
            prefixHashes = persistentListOf(),
            arrivalMillis = nowMillis,
            deadlineMillis = nowMillis + profile.route.deadlineMillis,
            targetFirstTokenMillis = profile.route.firstTokenMillis,
            targetBetweenTokensMillis = profile.route.betweenTokensMillis,
        )

    /** Block hashes of a random template of [workspace]; popularity follows a Zipf distribution. */
    private fun template(profile: RouteProfile, workspace: WorkspaceProfile): List<Long> {
        val ranks = List(profile.templateCount) { 1.0 / (it + 1) }
        val name = "${workspace.id}/${profile.route.name}/${pickWeighted(ranks, random)}"
        return templates.getOrPut(name) {
            val templateRandom = seededRandom(templateSeed, name)
            val blocks =
                maxOf(1, profile.templateTokens.sample(templateRandom) / PREFIX_BLOCK_TOKENS)
            List(blocks) { templateRandom.nextLong() }
        }
    }

    private fun prefixHashes(template: List<Long>, uniqueTokens: Int): ImmutableList<Long> =
        (template + List(uniqueTokens / PREFIX_BLOCK_TOKENS) { random.nextLong() })
            .toImmutableList()

    // Clients set round token limits that are poor predictors of the actual output length.
    private fun randomMaxOutputTokens(outputTokens: Int): Int {
        val candidates = MAX_OUTPUT_TOKENS_CHOICES.filter { it >= outputTokens }
        return candidates[random.nextInt(candidates.size)]
    }

    private companion object {
        val MAX_OUTPUT_TOKENS_CHOICES = listOf(256, 512, 1_024, 2_048)
    }
}

/**
 * Markov-modulated Poisson arrival process with the mean rate [requestsPerSecond]. It alternates
 * between short bursts and longer periods below the mean rate.
 */
class ArrivalProcess(private val requestsPerSecond: Double, seed: Long) {
    private val random: Random = seededRandom(seed, "arrivals")
    private var inBurst = false
    private var stateEndSeconds = 0.0

    /**
     * Returns the time of the next arrival after [nowSeconds]. [rateFactorAt] scales the rate at a
     * given time and must not exceed [maxRateFactor].
     */
    fun next(nowSeconds: Double, maxRateFactor: Double, rateFactorAt: (Double) -> Double): Double {
        var time = nowSeconds
        val maxRate = requestsPerSecond * BURST_FACTOR * maxRateFactor
        while (true) {
            time += sampleExponential(1 / maxRate)
            val rate = requestsPerSecond * stateRateFactor(time) * rateFactorAt(time)
            if (random.nextDouble() * maxRate < rate) return time
        }
    }

    private fun stateRateFactor(time: Double): Double {
        while (time >= stateEndSeconds) {
            inBurst = !inBurst
            stateEndSeconds += sampleExponential(if (inBurst) BURST_SECONDS else BASE_SECONDS)
        }
        return if (inBurst) BURST_FACTOR else BASE_FACTOR
    }

    private fun sampleExponential(mean: Double): Double =
        -mean * kotlin.math.ln(1 - random.nextDouble())

    private companion object {
        const val BURST_SECONDS = 2.0
        const val BASE_SECONDS = 18.0
        const val BURST_FACTOR = 1.6

        // Preserves the mean rate: bursts take 10% of the time, the remaining 90% use this factor.
        const val BASE_FACTOR = (1 - 0.1 * BURST_FACTOR) / 0.9
    }
}
