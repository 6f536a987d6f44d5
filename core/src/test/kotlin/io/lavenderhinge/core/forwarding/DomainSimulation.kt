package io.lavenderhinge.core.forwarding

import kotlin.random.Random

/** Requests of the clients in [domain], in multiples of the capacity of that domain. */
internal class DomainTraffic(
    val domain: String,
    val load: Double,
    val fromMillis: Long,
    val untilMillis: Long,
)

/** A request of the clients in [from]; [to] is null if it was refused. */
internal class DomainResult(
    val from: String,
    val to: String?,
    val arrivedMillis: Long,
    /** Time that the request spent in the queue of its instance. */
    val waitMillis: Long,
    /** Time from the arrival to the first event. */
    val firstEventMillis: Long,
)

/** The mean share of the instances of [domain] at one time. */
internal class DomainShare(val domain: String, val atMillis: Long, val shareFraction: Double)

/**
 * Simulates traffic in virtual time on [instances] dispatchers in [domains] that have equally many
 * servers each. Reports are sent as often as in a fleet of that size and arrive a little later.
 */
internal class DomainSimulation(
    instances: Int,
    private val domains: List<String>,
    private val features: SchedulingFeatures = SchedulingFeatures(domainSpillover = FeatureMode.ON),
    private val seed: Int = 1,
    /** Servers in each domain. A fleet of hundreds serves more of them than a small one. */
    private val servers: Int = if (instances > 100) 40 else 10,
    /** Returns false if a report from one domain to another is lost. */
    private val isConnected: (from: String, to: String, nowMillis: Long) -> Boolean = { _, _, _ ->
        true
    },
) {
    private inner class Instance(val id: String, val domain: String, number: Int) {
        val dispatcher =
            Dispatcher(domain, random = Random(seed * 1_000 + number), features = features)
    }

    private class Pending(val request: DispatchRequest, val instance: Instance)

    private val random = Random(seed)
    private val time = VirtualTime()
    private val entries =
        domains.flatMap { domain ->
            List(servers) { server("$domain-$it", SLOTS).copy(failureDomain = domain) }
        }
    private val simulated =
        entries.associate { it.id to SimulatedServer(it.id, SLOTS, slowness = 1.0) }
    private val fleet =
        List(instances) { Instance("i$it", domains[it % domains.size], it) }
            .onEach { it.dispatcher.onServers(entries, nowMillis = 0) }
    private val pending = HashMap<Long, Pending>()
    private var lastRequestId = 0L

    val results = mutableListOf<DomainResult>()
    val shares = mutableListOf<DomainShare>()

    fun run(traffic: List<DomainTraffic>, untilMillis: Long): DomainSimulation {
        traffic.forEach { kind ->
            val perSecond = kind.load * servers * SLOTS * MILLIS_PER_SECOND / HOLD_MILLIS
            val local = fleet.filter { it.domain == kind.domain }
            time.arrivals(perSecond, kind.fromMillis..kind.untilMillis, random) {
                arrive(local[random.nextInt(local.size)], it)
            }
        }
        val pauseMillis = maxOf(MIN_REPORT_MILLIS, ReportPacing.pauseMillis(fleet.size - 1))
        fleet.forEach { instance ->
            val phaseMillis = random.nextLong(pauseMillis)
            for (millis in phaseMillis until untilMillis step pauseMillis) {
                time.at(millis) { report(instance, it) }
            }
        }
        time.every(TICK_MILLIS, untilMillis) { nowMillis ->
            fleet.forEach { apply(it, it.dispatcher.serveQueues(nowMillis), nowMillis) }
        }
        time.every(SHARE_INTERVAL_MILLIS, untilMillis, ::recordShares)
        time.run()
        return this
    }

    /** Share of the requests of [domain] in [period] that ran elsewhere. */
    fun leftFraction(domain: String, period: LongRange): Double {
        val sent =
            results.filter { it.from == domain && it.to != null && it.arrivedMillis in period }
        return sent.count { it.to != domain }.toDouble() / sent.size
    }

    /** Mean wait of the requests of [domain] in [period] that were not refused. */
    fun meanWaitMillis(domain: String, period: LongRange): Double =
        results
            .filter { it.from == domain && it.to != null && it.arrivedMillis in period }
            .map { it.waitMillis }
            .average()

    /** The difference between the largest and the smallest share of [domain] in [period]. */
    fun swing(domain: String, period: LongRange): Double {
        val values = shares.filter { it.domain == domain && it.atMillis in period }
        return values.maxOf { it.shareFraction } - values.minOf { it.shareFraction }
    }

    /** The mean share of [domain] in [period]. */
    fun share(domain: String, period: LongRange): Double =
        shares
            .filter { it.domain == domain && it.atMillis in period }
            .map { it.shareFraction }
            .average()

    private fun recordShares(nowMillis: Long) =
        domains.forEach { domain ->
            val local = fleet.filter { it.domain == domain }
            val loads = local.flatMap { it.dispatcher.report(nowMillis).domainLoads }
            shares += DomainShare(domain, nowMillis, loads.sumOf { it.shareFraction } / local.size)
        }

    private fun report(from: Instance, nowMillis: Long) {
        val report = from.dispatcher.report(nowMillis)
        time.at(nowMillis + DELIVERY_MILLIS) { millis ->
            fleet.forEach {
                if (it !== from && isConnected(from.domain, it.domain, millis)) {
                    apply(it, it.dispatcher.onPeerReport(from.id, report, millis), millis)
                }
            }
        }
    }

    private fun arrive(instance: Instance, nowMillis: Long) {
        val request =
            request(
                ++lastRequestId,
                arrivedMillis = nowMillis,
                targetMillis = nowMillis + TARGET_MILLIS,
                deadlineMillis = nowMillis + DEADLINE_MILLIS,
                expectedEvents = 20.0,
            )
        pending[request.id] = Pending(request, instance)
        apply(instance, instance.dispatcher.submit(request, nowMillis), nowMillis)
    }

    private fun apply(instance: Instance, effects: List<DispatchEffect>, nowMillis: Long) =
        effects.forEach { effect ->
            val request = pending.remove(effect.requestId)?.request ?: return@forEach
            val to = (effect as? DispatchEffect.Assign)?.server
            val firstMillis = to?.let { start(instance, request, it, nowMillis) } ?: nowMillis
            results +=
                DomainResult(
                    instance.domain,
                    to?.failureDomain,
                    request.arrivedMillis,
                    nowMillis - request.arrivedMillis,
                    firstMillis - request.arrivedMillis,
                )
        }

    private fun start(
        instance: Instance,
        request: DispatchRequest,
        entry: ServerEntry,
        sentMillis: Long,
    ): Long {
        val run = simulated.getValue(entry.id).run(sentMillis, HOLD_MILLIS)
        val outcome =
            ServerOutcome.Answered(
                firstEventMillis = run.first + FIRST_EVENT_MILLIS - sentMillis,
                holdMillis = (run.last - sentMillis).toDouble(),
                promptTokens = request.promptTokens,
                events = 20,
            )
        time.at(run.last) { nowMillis ->
            val attempt = finished(entry, outcome, request.promptTokens, true, request, sentMillis)
            apply(instance, instance.dispatcher.onFinished(attempt, nowMillis), nowMillis)
        }
        return run.first + FIRST_EVENT_MILLIS.toLong()
    }

    companion object {
        const val SLOTS = 4
        const val HOLD_MILLIS = 600.0
        private const val FIRST_EVENT_MILLIS = 100.0
        private const val TARGET_MILLIS = 1_500L
        private const val DEADLINE_MILLIS = 6_000L
        private const val TICK_MILLIS = 10L
        private const val MIN_REPORT_MILLIS = 30L
        private const val DELIVERY_MILLIS = 5L
        private const val SHARE_INTERVAL_MILLIS = 100L
        private const val MILLIS_PER_SECOND = 1_000.0
    }
}
