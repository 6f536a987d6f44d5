package io.lavenderhinge.core.forwarding

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.doubles.shouldBeLessThanOrEqual
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import kotlin.random.Random

private const val WINDOW_MILLIS = 8_000L
private const val RESTART_MILLIS = 20_000L
private const val DOWN_MILLIS = 1_000L
private const val END_MILLIS = 40_000L
private const val REPORT_INTERVAL_MILLIS = 30L
private const val TICK_MILLIS = 200L
private const val REQUEST_COST = 4_000.0
/** Of about 96 requests in the window after the restart. */
private const val MAX_REFUSED = 4

/**
 * Plays a fleet whose instances all restart at once while a workspace sends several times its
 * quota. The instances find each other in the store after [listedMillis], and their reports arrive
 * after [reportedMillis].
 */
private class ColdStartSimulation(
    private val instances: Int,
    private val listedMillis: Long,
    private val reportedMillis: Long,
    private val workspace: ForwardWorkspace,
    tolerance: QuotaTolerance,
    private val random: Random,
) {
    private val ids = List(instances) { "p$it" }
    private val newLimiters = { List(instances) { QuotaLimiter(tolerance) } }
    private var limiters = newLimiters()
    private var startedMillis = -WINDOW_MILLIS
    private val admitted = ArrayList<Pair<Long, Double>>()
    private val refusedMillis = ArrayList<Long>()

    fun run(perSecond: Int) {
        for (millis in 0L until END_MILLIS) {
            if (millis == RESTART_MILLIS) limiters = newLimiters()
            if (millis in RESTART_MILLIS until RESTART_MILLIS + DOWN_MILLIS) continue
            if (millis == RESTART_MILLIS + DOWN_MILLIS) startedMillis = millis
            if (millis % TICK_MILLIS == 0L) tick(millis)
            if (millis % REPORT_INTERVAL_MILLIS == 0L && hasStarted(millis, reportedMillis))
                report(millis)
            if (random.nextInt(1_000) < perSecond) arrive(millis)
        }
    }

    /** The highest cost that was admitted in a window. */
    fun peakCost(): Double =
        admitted.indices.maxOf { from ->
            val endMillis = admitted[from].first + WINDOW_MILLIS
            admitted.drop(from).takeWhile { it.first < endMillis }.sumOf { it.second }
        }

    /** Number of requests that were refused between two times. */
    fun refusedCount(fromMillis: Long, untilMillis: Long): Int =
        refusedMillis.count { it in fromMillis until untilMillis }

    private fun hasStarted(millis: Long, delayMillis: Long) = millis - startedMillis >= delayMillis

    private fun tick(millis: Long) =
        limiters.forEachIndexed { index, limiter ->
            val isListed = hasStarted(millis, listedMillis)
            val members = if (isListed) (ids - ids[index]).toSet() else emptySet()
            limiter.tick(members, listOf(workspace), millis)
        }

    private fun report(millis: Long) {
        val totals = limiters.map { it.totals.toMap() }
        limiters.forEachIndexed { to, limiter ->
            ids.indices
                .filter { it != to }
                .forEach {
                    limiter.onPeerReport(
                        ids[it],
                        QuotaReport(startedMillis, millis - startedMillis, totals[it]),
                        millis,
                    )
                }
        }
    }

    private fun arrive(millis: Long) {
        val limiter = limiters[random.nextInt(instances)]
        val isAdmitted = limiter.tryAdmit(workspace, REQUEST_COST, millis)
        if (isAdmitted) admitted += millis to REQUEST_COST else refusedMillis += millis
    }
}

/** Guards against a fleet that exceeds a quota after all its instances have restarted. */
class QuotaColdStartTest :
    FunSpec({
        val tolerance = QuotaTolerance(WINDOW_MILLIS, overageFraction = 0.1, slack = 190_000.0)
        val quota = tokenQuota(ratePerSecond = 60_000.0, burst = 60_000.0)
        val workspace = workspace("w", quota = quota)
        val allowed = tolerance.allowedCost(quota)

        data class Case(val instances: Int, val listedMillis: Long, val reportedMillis: Long)

        context("given a restart of all, then the quota's bound holds in each window") {
            withData(
                listOf(3, 9, 95).flatMap { instances ->
                    listOf(0L, 300L).flatMap { listed ->
                        listOf(300L, 1_000L, 3_000L).map { Case(instances, listed, it) }
                    }
                }
            ) { case ->
                val simulation =
                    ColdStartSimulation(
                        case.instances,
                        case.listedMillis,
                        case.reportedMillis,
                        workspace,
                        tolerance,
                        Random(case.instances),
                    )

                simulation.run(perSecond = 90)

                simulation.peakCost() shouldBeLessThanOrEqual allowed
            }
        }

        // Guards against refusals within the quota while the usage of the peers is unknown.
        context("given a workspace within its quota, then a restart of all refuses few requests") {
            withData(listOf(3, 9)) { instances ->
                val simulation =
                    ColdStartSimulation(
                        instances,
                        listedMillis = 0,
                        reportedMillis = 300,
                        workspace,
                        tolerance,
                        Random(instances),
                    )

                simulation.run(perSecond = 12)

                val startMillis = RESTART_MILLIS + DOWN_MILLIS
                val refused = simulation.refusedCount(startMillis, startMillis + WINDOW_MILLIS)
                refused shouldBeLessThanOrEqual MAX_REFUSED
            }
        }
    })
