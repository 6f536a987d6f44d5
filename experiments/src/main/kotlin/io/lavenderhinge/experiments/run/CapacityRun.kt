package io.lavenderhinge.experiments.run

import io.lavenderhinge.core.port.ListedMember
import io.lavenderhinge.experiments.engine.BackendJob
import io.lavenderhinge.experiments.engine.BackendListener
import io.lavenderhinge.experiments.engine.FakeEngine
import io.lavenderhinge.experiments.engine.HardwareProfile
import io.lavenderhinge.experiments.time.EventLoop
import io.lavenderhinge.experiments.time.MICROS_PER_SECOND
import io.lavenderhinge.experiments.workload.Deployment
import io.lavenderhinge.experiments.workload.RequestGenerator
import io.lavenderhinge.experiments.workload.RouteProfile
import io.lavenderhinge.experiments.workload.pickWeighted
import io.lavenderhinge.experiments.workload.seededRandom
import io.lavenderhinge.experiments.workload.serves

/**
 * Measures the capacity of a deployment under closed-loop load. Every engine always holds as many
 * requests as the knee of its hardware profile has sequences; a completed request is replaced at
 * once. Requests are routed at random, so that prefix caches do not raise the result.
 */
class CapacityRun(private val deployment: Deployment) {
    private val loop = EventLoop()
    private val generator = RequestGenerator(deployment, SEED)
    private val random = seededRandom(SEED, "capacity")
    private val completedByModel = HashMap<String, Int>()
    private val engines = HashMap<String, FakeEngine>()
    private val modelByEngine = HashMap<String, String>()

    /**
     * Returns the arrival rate of the whole traffic mix, including plain services, at which the
     * first model saturates.
     */
    fun requestsPerSecond(): Double {
        deployment.engines.forEach(::saturate)
        loop.runUntil((WARM_UP_SECONDS * MICROS_PER_SECOND).toLong())
        completedByModel.clear()
        loop.runUntil(((WARM_UP_SECONDS + MEASURED_SECONDS) * MICROS_PER_SECOND).toLong())
        return completedByModel.minOf { (model, completed) ->
            completed / MEASURED_SECONDS / shareFraction(model)
        }
    }

    private fun saturate(member: ListedMember) {
        val profile = HardwareProfile.of(member.hardwareGeneration)
        val routes = deployment.routes.filter { serves(member, it.route.target) }
        val engine = FakeEngine(member.id, profile, loop, RefillListener(routes))
        engines[member.id] = engine
        modelByEngine[member.id] = member.serves
        repeat(profile.kneeSequences) { submitRandom(engine, routes) }
    }

    private fun submitRandom(engine: FakeEngine, routes: List<RouteProfile>) {
        val route = routes[pickWeighted(routes.map { it.shareFraction }, random)]
        engine.submit(generator.next(route, loop.nowMillis))
    }

    private fun shareFraction(model: String): Double =
        deployment.routes.filter { it.route.target.name == model }.sumOf { it.shareFraction }

    private inner class RefillListener(private val routes: List<RouteProfile>) : BackendListener {
        override fun onFirstToken(job: BackendJob, serverId: String, cachedPrefixTokens: Int) = Unit

        override fun onCompleted(
            job: BackendJob,
            serverId: String,
            outputTokens: Int,
            betweenTokensMillis: Double,
        ) {
            completedByModel.merge(modelByEngine.getValue(serverId), 1, Int::plus)
            submitRandom(engines.getValue(serverId), routes)
        }

        override fun onFailed(job: BackendJob, serverId: String, message: String) = Unit
    }

    private companion object {
        // Fixed, so that a load factor denotes the same arrival rate for every run seed.
        const val SEED = 1L
        const val WARM_UP_SECONDS = 60.0
        const val MEASURED_SECONDS = 240.0
    }
}
