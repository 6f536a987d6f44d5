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
        val ownTokens = profile.ownTokens.sample(random)
        val outputTokens = profile.outputTokens.sample(random)
        val request =
            request(profile, workspace, nowMillis)
                .copy(
                    promptTokens = template.size * PREFIX_BLOCK_TOKENS + ownTokens,
                    maxOutputTokens = outputBound(outputTokens),
                    prefixHashes = withOwnBlocks(template, ownTokens),
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
            val own = seededRandom(templateSeed, name)
            val blocks = maxOf(1, profile.templateTokens.sample(own) / PREFIX_BLOCK_TOKENS)
            List(blocks) { own.nextLong() }
        }
    }

    private fun withOwnBlocks(template: List<Long>, ownTokens: Int): ImmutableList<Long> =
        (template + List(ownTokens / PREFIX_BLOCK_TOKENS) { random.nextLong() }).toImmutableList()

    // Clients set round token limits that are poor predictors of the actual output length.
    private fun outputBound(outputTokens: Int): Int {
        val bounds = OUTPUT_BOUNDS.filter { it >= outputTokens }
        return bounds[random.nextInt(bounds.size)]
    }

    private companion object {
        val OUTPUT_BOUNDS = listOf(256, 512, 1_024, 2_048)
    }
}

/**
 * Markov-modulated Poisson arrival process with the mean rate [requestsPerSecond]. It alternates
 * between short bursts and longer periods below the mean rate.
 */
class ArrivalProcess(private val requestsPerSecond: Double, seed: Long) {
    private val random: Random = seededRandom(seed, "arrivals")
    private var isBurst = false
    private var stateEndsSeconds = 0.0

    /**
     * Returns the time of the next arrival after [nowSeconds]. [factorAt] scales the rate at a
     * given time and must not exceed [maxFactor].
     */
    fun next(nowSeconds: Double, maxFactor: Double, factorAt: (Double) -> Double): Double {
        var time = nowSeconds
        val maxRate = requestsPerSecond * BURST_FACTOR * maxFactor
        while (true) {
            time += exponential(1 / maxRate)
            val rate = requestsPerSecond * stateFactor(time) * factorAt(time)
            if (random.nextDouble() * maxRate < rate) return time
        }
    }

    private fun stateFactor(time: Double): Double {
        while (time >= stateEndsSeconds) {
            isBurst = !isBurst
            stateEndsSeconds += exponential(if (isBurst) BURST_SECONDS else CALM_SECONDS)
        }
        return if (isBurst) BURST_FACTOR else CALM_FACTOR
    }

    private fun exponential(mean: Double): Double = -mean * kotlin.math.ln(1 - random.nextDouble())

    private companion object {
        const val BURST_SECONDS = 2.0
        const val CALM_SECONDS = 18.0
        const val BURST_FACTOR = 1.6

        // Preserves the mean rate: bursts take 10% of the time, the remaining 90% use this factor.
        const val CALM_FACTOR = (1 - 0.1 * BURST_FACTOR) / 0.9
    }
}
