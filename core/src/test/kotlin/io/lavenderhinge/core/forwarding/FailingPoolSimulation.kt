package io.lavenderhinge.core.forwarding

import kotlin.random.Random

/** A server that answers a fraction of its requests with an error. */
internal class FailingServer(
    val id: String,
    /** Fraction of the requests that fail at a time. */
    val failureFraction: (nowMillis: Long) -> Double,
    /** Time until an error response is sent. */
    val failureMillis: Long = FailingPoolSimulation.WORK_MILLIS,
) {
    private val freeAtMillis = LongArray(FailingPoolSimulation.SLOTS)

    /** Times at which requests arrived. */
    val arrivals = mutableListOf<Long>()

    fun isFree(nowMillis: Long): Boolean = freeAtMillis.any { it <= nowMillis }

    /** Runs a request that arrives now and returns when its response is sent. */
    fun run(nowMillis: Long, isFailure: Boolean): Long {
        arrivals += nowMillis
        val slot = freeAtMillis.indices.minBy { freeAtMillis[it] }
        val workMillis = if (isFailure) failureMillis else FailingPoolSimulation.WORK_MILLIS
        freeAtMillis[slot] = maxOf(nowMillis, freeAtMillis[slot]) + workMillis
        return freeAtMillis[slot]
    }
}

/** Response of the simulated instances to a client. */
internal enum class ClientResult {
    OK,
    SERVER_ERROR,
    REFUSED,
    /** Refused although a server had a free slot. */
    REFUSED_WHILE_FREE,
}

/** The responses of a run with their times. */
internal class FailingPoolResults(private val results: List<Pair<Long, ClientResult>>) {
    val count: Int
        get() = results.size

    fun fraction(vararg kinds: ClientResult): Double =
        results.count { it.second in kinds }.toDouble() / results.size

    fun count(kind: ClientResult): Int = results.count { it.second == kind }

    fun since(millis: Long) = FailingPoolResults(results.filter { it.first >= millis })

    override fun toString() =
        "asked $count, " + ClientResult.entries.joinToString { "$it ${count(it)}" }
}

/**
 * Clients of a plain service whose servers answer some requests with an error, in virtual time.
 *
 * Each client asks again within [thinkMillis] of a response. The requests of every second client
 * may be sent to a second server after a failure, within the retry budget.
 */
internal class FailingPoolSimulation(
    private val servers: List<FailingServer>,
    instanceCount: Int,
    private val clientCount: Int = 36,
    private val thinkMillis: Long = 60,
    private val reportMillis: Long = 20,
    seed: Int = 1,
) {
    private class Ask(val client: Int, val instance: Int, val request: DispatchRequest)

    private val random = Random(seed)
    private val time = VirtualTime()
    private val entries = servers.map { server(it.id, slots = SLOTS) }
    /** The instances, for what a test asks of them. */
    val dispatchers =
        List(instanceCount) { number ->
            Dispatcher("d", random = Random(seed + number)).apply { onServers(entries, 0) }
        }
    private val budgets = List(instanceCount) { ServiceRetryBudget(RETRY_RATIO, RETRY_SLACK) }
    private val open = HashMap<Long, Ask>()
    private val results = mutableListOf<Pair<Long, ClientResult>>()
    private var lastId = 0L
    private var endMillis = 0L

    fun run(untilMillis: Long): FailingPoolResults {
        endMillis = untilMillis
        repeat(clientCount) { client -> time.at(random.nextLong(thinkMillis)) { ask(client, it) } }
        time.every(reportMillis, untilMillis) {
            time.exchangeReports(dispatchers, reportMillis, it, ::apply)
        }
        time.every(TICK_MILLIS, untilMillis + TARGET_MILLIS) { nowMillis ->
            dispatchers.forEach { if (it.hasWaiting) apply(it.serveQueues(nowMillis), nowMillis) }
        }
        time.run()
        return FailingPoolResults(results)
    }

    private fun ask(client: Int, nowMillis: Long) {
        val instance = client % dispatchers.size
        budgets[instance].onRequest("s", nowMillis)
        val request =
            request(
                ++lastId,
                arrivedMillis = nowMillis,
                targetMillis = nowMillis + TARGET_MILLIS,
                deadlineMillis = nowMillis + DEADLINE_MILLIS,
                promptTokens = 0.0,
            )
        submit(Ask(client, instance, request), nowMillis)
    }

    private fun submit(ask: Ask, nowMillis: Long) {
        open[ask.request.id] = ask
        apply(dispatchers[ask.instance].submit(ask.request, nowMillis), nowMillis)
    }

    private fun apply(effects: List<DispatchEffect>, nowMillis: Long) =
        effects.forEach { effect ->
            val ask = open.remove(effect.requestId) ?: return@forEach
            when (effect) {
                is DispatchEffect.Assign -> send(ask, effect, nowMillis)
                is DispatchEffect.Refuse -> respond(ask, refusalOf(ask, nowMillis), nowMillis)
            }
        }

    private fun refusalOf(ask: Ask, nowMillis: Long): ClientResult =
        when {
            // The error of the first server is passed on.
            ask.request.excludedServers.isNotEmpty() -> ClientResult.SERVER_ERROR
            servers.any { it.isFree(nowMillis) } -> ClientResult.REFUSED_WHILE_FREE
            else -> ClientResult.REFUSED
        }

    private fun send(ask: Ask, grant: DispatchEffect.Assign, sentMillis: Long) {
        val server = servers.first { it.id == grant.server.id }
        val isFailure = random.nextDouble() < server.failureFraction(sentMillis)
        time.at(server.run(sentMillis, isFailure)) { nowMillis ->
            val millis = (nowMillis - sentMillis).toDouble()
            val outcome =
                if (isFailure) ServerOutcome.Failed
                else ServerOutcome.Answered(millis, millis, promptTokens = 0.0, events = 0)
            val attempt =
                finished(grant.server, outcome, 0.0, request = ask.request, sentMillis = sentMillis)
            apply(dispatchers[ask.instance].onFinished(attempt, nowMillis), nowMillis)
            if (isFailure) onFailure(ask, server.id, nowMillis)
            else respond(ask, ClientResult.OK, nowMillis)
        }
    }

    private fun onFailure(ask: Ask, serverId: String, nowMillis: Long) {
        val tried = ask.request.excludedServers.add(serverId)
        val mayRetry =
            ask.client % 2 == 0 &&
                tried.size < MAX_SERVERS &&
                budgets[ask.instance].tryRetry("s", dispatchers.size, nowMillis)
        if (!mayRetry) return respond(ask, ClientResult.SERVER_ERROR, nowMillis)
        val retry = ask.request.copy(id = ++lastId, excludedServers = tried)
        submit(Ask(ask.client, ask.instance, retry), nowMillis)
    }

    private fun respond(ask: Ask, result: ClientResult, nowMillis: Long) {
        results += nowMillis to result
        if (nowMillis >= endMillis) return
        time.at(nowMillis + 1 + random.nextLong(thinkMillis)) { this.ask(ask.client, it) }
    }

    companion object {
        const val SLOTS = 6
        const val WORK_MILLIS = 20L
        private const val TICK_MILLIS = 10L
        private const val TARGET_MILLIS = 150L
        private const val DEADLINE_MILLIS = 2_000L
        private const val MAX_SERVERS = 2
        private const val RETRY_RATIO = 0.1
        private const val RETRY_SLACK = 10.0
    }
}
