package io.lavenderhinge.core.forwarding

import kotlin.random.Random
import kotlinx.collections.immutable.toImmutableList

/** Load of a [PromptSimulation]. */
internal class PromptLoad(
    /** Requests of all instances together. */
    val perSecond: Double,
    val durationMillis: Long,
    val targetMillis: Long,
    val work: (Random) -> PromptWork,
    val priority: (Random) -> Int = { 0 },
)

/** What a [PromptSimulation] measured. */
internal class PromptResult(
    val requests: Int,
    val onTime: Int,
    val refused: Int,
    val tokens: PromptServer.Counts,
    val firstEventMillis: List<Long>,
) {
    fun percentile(fraction: Double): Long =
        firstEventMillis.sorted().let {
            if (it.isEmpty()) 0 else it[((it.size - 1) * fraction).toInt()]
        }

    override fun toString() =
        "$requests requests, $onTime on time, $refused refused; prompt tokens ${tokens.prompt}, " +
            "processed ${tokens.processed}, processed again ${tokens.repeated}; first event " +
            "p50 ${percentile(0.5)} ms, p99 ${percentile(0.99)} ms"
}

/**
 * Simulates requests with shared prompt parts in virtual time. Each arrives at a random one of
 * [instanceCount] dispatchers, which exchange reports as instances do.
 */
internal class PromptSimulation(
    instanceCount: Int,
    private val servers: List<PromptServer>,
    mode: FeatureMode,
    cacheTokens: Long,
    /** Returns true if the report that an instance sends at a time is lost on its way to a peer. */
    private val isLost: (from: Int, to: Int, nowMillis: Long) -> Boolean = { _, _, _ -> false },
) {
    private val time = VirtualTime()
    private val entries = servers.map { server(it.id, slots = it.slots) }
    private val byId = servers.associateBy { it.id }
    private val dispatchers =
        List(instanceCount) { number ->
            Dispatcher(
                    "d",
                    random = Random(number),
                    features = SchedulingFeatures(promptMatching = mode),
                    cacheTokens = { cacheTokens },
                )
                .apply { onServers(entries, nowMillis = 0) }
        }
    private val open = HashMap<Long, Pair<DispatchRequest, PromptWork>>()
    private val known = HashSet<Long>()
    private val counts = PromptServer.Counts()
    private val firstEvents = mutableListOf<Long>()
    private var requestCount = 0
    private var onTime = 0
    private var refused = 0

    /** Runs [load] and returns what was measured after [warmUpMillis]. */
    fun run(load: PromptLoad, seed: Int, warmUpMillis: Long = 0): PromptResult {
        val random = Random(seed)
        time.arrivals(load.perSecond, 0..load.durationMillis, random) { arrive(load, random, it) }
        time.at(warmUpMillis) { clear() }
        val pauseMillis = ReportPacing.pauseMillis(dispatchers.size - 1)
        dispatchers.indices.forEach { instance ->
            // Instances do not report at the same time.
            time.at(instance * pauseMillis / dispatchers.size) { first ->
                reportEvery(instance, pauseMillis, first, load.durationMillis)
            }
        }
        time.every(TICK_MILLIS, load.durationMillis + DRAIN_MILLIS) { nowMillis ->
            dispatchers.forEach {
                if (it.hasWaiting) apply(it, it.serveQueues(nowMillis), nowMillis)
            }
        }
        time.run()
        return PromptResult(requestCount, onTime, refused, counts, firstEvents)
    }

    private fun clear() {
        requestCount = 0
        onTime = 0
        refused = 0
        firstEvents.clear()
        counts.prompt = 0
        counts.processed = 0
        counts.repeated = 0
    }

    private fun reportEvery(instance: Int, pauseMillis: Long, nowMillis: Long, untilMillis: Long) {
        if (nowMillis > untilMillis + DRAIN_MILLIS) return
        val report = dispatchers[instance].report(nowMillis)
        time.at(nowMillis + DELIVERY_MILLIS) { millis ->
            dispatchers.forEachIndexed { to, peer ->
                if (to != instance && !isLost(instance, to, millis)) {
                    apply(peer, peer.onPeerReport("$instance", report, millis), millis)
                }
            }
        }
        time.at(nowMillis + pauseMillis) { reportEvery(instance, pauseMillis, it, untilMillis) }
    }

    private fun arrive(load: PromptLoad, random: Random, nowMillis: Long) {
        val work = load.work(random)
        val tokens = work.parts.sumOf { it.tokens } + work.ownTokens
        val request =
            request(
                    ++requestCount + nowMillis * 1_000_000,
                    load.priority(random),
                    arrivedMillis = nowMillis,
                    targetMillis = nowMillis + load.targetMillis,
                    deadlineMillis = nowMillis + PATIENCE_PER_TARGET * load.targetMillis,
                    promptTokens = tokens.toDouble(),
                    expectedEvents = work.events.toDouble(),
                )
                .copy(promptParts = work.parts.toImmutableList())
        open[request.id] = request to work
        val dispatcher = dispatchers[random.nextInt(dispatchers.size)]
        apply(dispatcher, dispatcher.submit(request, nowMillis), nowMillis)
    }

    private fun apply(dispatcher: Dispatcher, effects: List<DispatchEffect>, nowMillis: Long) {
        effects.forEach { effect ->
            val (request, work) = open.remove(effect.requestId) ?: return@forEach
            when (effect) {
                is DispatchEffect.Refuse -> refused++
                is DispatchEffect.Assign -> start(dispatcher, request, work, effect, nowMillis)
            }
        }
    }

    private fun start(
        dispatcher: Dispatcher,
        request: DispatchRequest,
        work: PromptWork,
        grant: DispatchEffect.Assign,
        nowMillis: Long,
    ) {
        val run = byId.getValue(grant.server.id).run(work, nowMillis, known, counts)
        firstEvents += run.firstEventMillis - request.arrivedMillis
        if (run.firstEventMillis <= request.targetMillis) onTime++
        time.at(run.firstEventMillis) {
            dispatcher.onActivity(grant.server, nowMillis, it)
            dispatcher.onFirstEvent(grant.server.id, "s", grant.uncachedTokens)
        }
        time.at(run.endMillis) { endMillis ->
            val outcome =
                ServerOutcome.Answered(
                    (run.firstEventMillis - nowMillis).toDouble(),
                    (endMillis - nowMillis).toDouble(),
                    grant.uncachedTokens,
                    work.events,
                )
            val attempt =
                finished(grant.server, outcome, grant.uncachedTokens, false, request, nowMillis)
            apply(dispatcher, dispatcher.onFinished(attempt, endMillis), endMillis)
        }
    }

    private companion object {
        const val TICK_MILLIS = 10L
        const val DELIVERY_MILLIS = 5L
        const val DRAIN_MILLIS = 5_000L
        const val PATIENCE_PER_TARGET = 4L
    }
}
