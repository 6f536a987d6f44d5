package io.lavenderhinge.core.forwarding

import kotlin.random.Random

private const val REPORT_INTERVAL_MILLIS = 50L
private const val TICK_MILLIS = 200L
private const val REQUEST_COST = 4_000.0

/** What goes wrong in a [QuotaReturnSimulation]. */
internal data class ReturnFaults(
    val lostFraction: Double = 0.0,
    val repeatedFraction: Double = 0.0,
    val maxDelayMillis: Long = 20,
    /** An instance restarts this often and forgets its charges and the requests that wait. */
    val restartMillis: Long? = null,
    /** Reports between the two halves of the fleet are lost in this time. */
    val partition: LongRange = LongRange.EMPTY,
)

/**
 * Plays a workspace that sends several times its quota to servers that take a part of its requests.
 * The others are refused after a while and their cost is given back.
 */
internal class QuotaReturnSimulation(
    private val instances: Int,
    private val workspace: ForwardWorkspace,
    private val tolerance: QuotaTolerance,
    private val refusedFraction: Double,
    private val givesBack: Boolean = true,
    private val faults: ReturnFaults = ReturnFaults(),
    seed: Int = 1,
) {
    private class Instance(val startedMillis: Long, val limiter: QuotaLimiter)

    private val random = Random(seed)
    private val time = VirtualTime()
    private val ids = List(instances) { "p$it" }
    private val fleet = MutableList(instances) { Instance(0, QuotaLimiter(tolerance)) }
    private val runs = ArrayList<Pair<Long, Double>>()

    fun run(perSecond: Double, untilMillis: Long): QuotaReturnSimulation {
        time.every(TICK_MILLIS, untilMillis) { millis ->
            fleet.forEachIndexed { index, instance ->
                instance.limiter.tick((ids - ids[index]).toSet(), listOf(workspace), millis)
            }
        }
        time.every(REPORT_INTERVAL_MILLIS, untilMillis) { millis ->
            ids.indices.forEach { report(it, millis) }
        }
        time.arrivals(perSecond, 0L..untilMillis, random, ::arrive)
        faults.restartMillis?.let { interval ->
            time.every(interval, untilMillis) { millis ->
                fleet[random.nextInt(instances)] = Instance(millis, QuotaLimiter(tolerance))
            }
        }
        time.run()
        return this
    }

    /** The highest cost that ran in a window. */
    fun peakCost(): Double {
        val sorted = runs.sortedBy { it.first }
        var from = 0
        var cost = 0.0
        return sorted.indices.maxOf { to ->
            cost += sorted[to].second
            while (sorted[from].first <= sorted[to].first - tolerance.windowMillis) {
                cost -= sorted[from++].second
            }
            cost
        }
    }

    /** The cost that ran in [period]. */
    fun cost(period: LongRange): Double = runs.filter { it.first in period }.sumOf { it.second }

    private fun arrive(millis: Long) {
        val instance = fleet[random.nextInt(instances)]
        if (!instance.limiter.tryAdmit(workspace, REQUEST_COST, millis)) return
        val charge = QuotaCharge("w", REQUEST_COST, millis)
        val isRefused = random.nextDouble() < refusedFraction
        time.at(millis + random.nextLong(if (isRefused) 1_500 else 200)) { endMillis ->
            when {
                instance !in fleet -> Unit
                !isRefused -> runs += endMillis to REQUEST_COST
                givesBack -> instance.limiter.giveBack(charge, endMillis)
            }
        }
    }

    private fun report(from: Int, millis: Long) {
        val sender = fleet[from]
        val report =
            QuotaReport(
                sender.startedMillis,
                millis - sender.startedMillis,
                sender.limiter.totals.toMap(),
                sender.limiter.returned.toMap(),
            )
        ids.indices.forEach { to ->
            val isCut = millis in faults.partition && (from < instances / 2) != (to < instances / 2)
            if (to == from || isCut || random.nextDouble() < faults.lostFraction) return@forEach
            val copies = if (random.nextDouble() < faults.repeatedFraction) 2 else 1
            repeat(copies) {
                time.at(millis + 1 + random.nextLong(faults.maxDelayMillis)) { arrivedMillis ->
                    fleet[to].limiter.onPeerReport(ids[from], report, arrivedMillis)
                }
            }
        }
    }
}
