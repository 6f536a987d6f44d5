package io.lavenderhinge.core.forwarding

import kotlin.math.abs
import kotlin.math.exp
import kotlin.random.Random

/** Demand and capacity of a service in one failure domain. */
internal class DomainView(
    val failureDomain: String,
    /** Slots of the servers there that take requests. */
    val slots: Int,
    /** How often one of them becomes free while all are in use. */
    val slotsPerMillis: Double,
    /** Requests of clients there that run there. */
    val runningAtHome: Int,
    /** Requests of clients there that run anywhere or wait. */
    val demand: Int,
    /** How long a new request waits for a slot there. */
    val waitMillis: Double,
)

/** The servers of a failure domain that take requests. */
internal data class DomainSlots(
    val count: Int,
    /** How often one of them becomes free while all are in use. */
    val perMillis: Double,
)

/**
 * Decides which requests for one service leave the failure domain [home].
 *
 * Addresses demand that comes in waves of 11 to 15 s whose peaks differ by domain, while servers
 * are spread evenly and the link between domains is charged by the byte. The excess of a domain is
 * its demand beyond its slots and the short queue that is worth no traffic; the room of a domain is
 * what its own demand leaves of its slots. The excess of all domains is spread over the room of
 * all, so that a domain sends no more than it lacks and takes no more than it can run at once. All
 * instances of a domain compute this from the same reports and move their shares in small steps
 * towards it and towards each other. Since a demand counts where its clients are, the share does
 * not change what it is computed from.
 *
 * The share alone sends nothing: each request that is not refused at once earns a part of the
 * permission for one to leave, and a request uses it if it gains clearly more than its bytes cost.
 */
internal class DomainSpillover(
    val service: String,
    private val home: String,
    random: Random,
    private val onEvent: (SpilloverEvent) -> Unit = {},
) {
    private val demands = HashMap<String, Double>()
    private var runningAtHome = 0.0
    private var stepMillis = Long.MIN_VALUE / 2
    // The first request of an instance leaves at a random time, since a domain may have many
    // instances with few requests each.
    private var credit = random.nextDouble()

    /** Share of the requests that leave. */
    var shareFraction = 0.0
        private set

    /** The share that would bring the waits together. */
    var targetFraction = 0.0
        private set

    /** How long a new request waits for a slot at home. */
    var waitMillis = 0.0
        private set

    /** The failure domains that take requests. */
    var targets: Set<String> = emptySet()
        private set

    /** True if a request may leave. */
    val mayLeave: Boolean
        get() = shareFraction > 0 && credit >= 1

    /** Part of the requests that will stay, once the share is what the waits call for. */
    val stayingFraction: Double
        get() = 1 - maxOf(shareFraction, targetFraction)

    /** Returns true if [record] is at home. */
    fun isHome(record: ServerRecord): Boolean = record.entry.failureDomain == home

    /** Returns the state of the failure domain for the peers. */
    fun report() = DomainLoadReport(service, waitMillis, shareFraction)

    /** Returns true if the last [step] is so long ago that another one is due. */
    fun isDue(nowMillis: Long): Boolean = nowMillis - stepMillis >= STEP_MILLIS

    /**
     * Moves the share by [slots] of each domain and by [demands] of the peers. This instance has
     * [running] requests of its own, [runningAtHome] of them at home, and [waiting] ones. A domain
     * whose demand nobody reports is unknown and gets nothing, as it may be cut off.
     */
    fun update(
        slots: Map<String, DomainSlots>,
        demands: Map<String, DomainDemand>,
        running: Int,
        runningAtHome: Int,
        waiting: Int,
        nowMillis: Long,
    ) {
        val own = demands[home]
        val views =
            (demands.keys + home).map { domain ->
                val (slotCount, slotsPerMillis) = slots[domain] ?: DomainSlots(0, 0.0)
                val demand = demands[domain]
                val peerDemand = (demand?.running ?: 0) + (demand?.waiting ?: 0)
                if (domain == home) {
                    val allWaiting = (own?.waiting ?: 0) + waiting
                    val waitMillis =
                        if (slotsPerMillis > 0) allWaiting / slotsPerMillis else MIN_WAIT_MILLIS
                    val allDemand = peerDemand + running + waiting
                    val allAtHome = (own?.runningAtHome ?: 0) + runningAtHome
                    DomainView(home, slotCount, slotsPerMillis, allAtHome, allDemand, waitMillis)
                } else {
                    val waitMillis = demand?.waitMillis ?: 0.0
                    val atHome = demand?.runningAtHome ?: 0
                    DomainView(domain, slotCount, slotsPerMillis, atHome, peerDemand, waitMillis)
                }
            }
        step(views, own?.shareFraction, nowMillis)
    }

    /**
     * Moves the share towards the one that [views] call for. A domain whose demand is unknown must
     * not be among them. [peerFraction] is the mean share of the other instances at home, or null.
     */
    fun step(views: List<DomainView>, peerFraction: Double?, nowMillis: Long) {
        val steps = ((nowMillis - stepMillis) / STEP_MILLIS).coerceIn(1, MAX_STEPS).toInt()
        val elapsedMillis = (nowMillis - stepMillis).coerceIn(0, MAX_STEPS * STEP_MILLIS)
        stepMillis = nowMillis
        val weight = 1 - exp(-elapsedMillis / SMOOTHING_MILLIS)
        smooth(views, weight)
        val own = views.firstOrNull { it.failureDomain == home }
        waitMillis = own?.waitMillis ?: 0.0
        runningAtHome += ((own?.runningAtHome ?: 0) - runningAtHome) * weight
        val takers = views.filter { it.failureDomain != home && isTaker(it) }
        targets = takers.mapTo(HashSet()) { it.failureDomain }
        targetFraction = if (own == null) 0.0 else targetFraction(own, views, takers)
        val previousFraction = shareFraction
        // Small excesses come and go at random even if domains are loaded alike.
        val isStarting = targetFraction >= START_FRACTION
        if (shareFraction > 0 || isStarting) repeat(steps) { move(peerFraction) }
        if (targetFraction == 0.0 && shareFraction < MIN_FRACTION) shareFraction = 0.0
        if (shareFraction == previousFraction) return
        onEvent(
            SpilloverEvent.ShareChanged(
                service,
                previousFraction,
                shareFraction,
                waitMillis,
                takers.associate { it.failureDomain to it.waitMillis },
            )
        )
    }

    /** Records that a request has arrived and is not refused at once. */
    fun onArrived() {
        credit = (credit + shareFraction).coerceAtMost(MAX_CREDIT)
    }

    /** Records that a request has left. */
    fun onLeft() {
        credit -= 1
    }

    /** Reports a request that is sent to [failureDomain]. */
    fun onSent(request: DispatchRequest, failureDomain: String) =
        onEvent(
            SpilloverEvent.RequestSent(service, failureDomain, SpilloverCost.sizeBytes(request))
        )

    /**
     * Returns true if leaving saves the client of [request] clearly more than it costs. The
     * estimates include the time to process what the cache of a server does not hold.
     */
    fun isWorthLeaving(request: DispatchRequest, homeMillis: Double, awayMillis: Double): Boolean =
        homeMillis - awayMillis > SpilloverCost.requiredGainMillis(request)

    private fun smooth(views: List<DomainView>, weight: Double) {
        demands.keys.retainAll(views.mapTo(HashSet()) { it.failureDomain })
        views.forEach { view ->
            val previous = demands[view.failureDomain] ?: view.demand.toDouble()
            demands[view.failureDomain] = previous + (view.demand - previous) * weight
        }
    }

    private fun demandOf(view: DomainView): Double = demands.getValue(view.failureDomain)

    private fun isTaker(view: DomainView): Boolean =
        room(view) > 0 && view.waitMillis < MIN_WAIT_MILLIS

    private fun room(view: DomainView): Double = (view.slots - demandOf(view)).coerceAtLeast(0.0)

    // A queue that is worked off within the wait that is worth no traffic is no excess.
    private fun excess(view: DomainView): Double =
        (demandOf(view) - view.slots - MIN_WAIT_MILLIS * view.slotsPerMillis).coerceAtLeast(0.0)

    private fun targetFraction(
        own: DomainView,
        views: List<DomainView>,
        takers: List<DomainView>,
    ): Double {
        val excess = excess(own)
        val room = takers.sumOf(::room)
        if (excess <= 0 || room <= 0) return 0.0
        val sentSlots = excess * minOf(1.0, room / views.sumOf(::excess))
        // Away, slots may be used for a longer or shorter time than at home.
        val slotsPerMillis = takers.sumOf { it.slotsPerMillis } / takers.sumOf { it.slots }
        val sentPerMillis = sentSlots * slotsPerMillis
        // In a large fleet, a slot that changes hands is idle until the next report, so that fewer
        // are in use at home than there are. Old reports may list more.
        val inUse = if (own.slots == 0) 0.0 else (runningAtHome / own.slots).coerceAtMost(1.0)
        val stayingPerMillis = own.slotsPerMillis * inUse
        return (sentPerMillis / (sentPerMillis + stayingPerMillis)).coerceAtMost(MAX_FRACTION)
    }

    // Demand varies at random from one moment to the next, which the share follows only slowly.
    private fun move(peerFraction: Double?) {
        val towardsTarget = targetFraction - shareFraction
        val towardsPeers = if (peerFraction == null) 0.0 else peerFraction - shareFraction
        val isUsual = targetFraction > 0 && abs(towardsTarget) < USUAL_VARIATION
        val gain = if (isUsual) SLOW_GAIN else FAST_GAIN
        val change = towardsTarget * gain + towardsPeers * PEER_GAIN
        shareFraction =
            (shareFraction + change.coerceIn(-MAX_CHANGE, MAX_CHANGE)).coerceIn(0.0, MAX_FRACTION)
    }

    private companion object {
        const val STEP_MILLIS = 100L
        const val MAX_STEPS = 5L
        /** Covers the time for which the reports of a fleet of hundreds may be late. */
        const val SMOOTHING_MILLIS = 200.0
        /** The gain that a stream of about 30 KiB needs to leave. */
        const val MIN_WAIT_MILLIS = 60.0
        const val USUAL_VARIATION = 0.12
        const val FAST_GAIN = 0.5
        const val SLOW_GAIN = 0.12
        const val PEER_GAIN = 0.2
        /** Reaches the share of a domain at twice its capacity within a second. */
        const val MAX_CHANGE = 0.2
        const val START_FRACTION = 0.05
        const val MIN_FRACTION = 0.005
        /**
         * What an instance earns while its own requests find slots at home is not kept for long.
         */
        const val MAX_CREDIT = 2.0
        /** Lets an instance notice that there is room at home again. */
        const val MAX_FRACTION = 0.95
    }
}
