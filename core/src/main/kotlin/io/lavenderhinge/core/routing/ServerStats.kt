package io.lavenderhinge.core.routing

import io.lavenderhinge.core.Tier
import io.lavenderhinge.core.limit.PrefillModel
import io.lavenderhinge.core.membership.RendezvousHash
import io.lavenderhinge.core.scheduling.ServerView
import kotlin.math.pow

/** State and estimates of one backend server at an entry. */
internal class ServerStats(var view: ServerView) {
    private val waitMillis = DoubleArray(Tier.entries.size)
    private val waitAtMillis = LongArray(Tier.entries.size)
    private var summarySequence = 0L
    private var prefillUntilMillis = 0.0
    private var avoidUntilMillis = 0L
    val prefill = PrefillModel()

    /** Hash of the server id, combined with prefix hashes to compute the affinity. */
    val idHash: Long = RendezvousHash.hash64(view.id).toLong()

    /** Requests of this entry in service. */
    var inService = 0

    fun recordWait(tier: Tier, millis: Long, nowMillis: Long) {
        waitMillis[tier.ordinal] = millis.toDouble()
        waitAtMillis[tier.ordinal] = nowMillis
    }

    fun recordSummary(sequence: Long, millis: Long, nowMillis: Long) {
        if (sequence <= summarySequence) return
        summarySequence = sequence
        recordWait(Tier.INTERACTIVE, millis, nowMillis)
    }

    fun avoidUntil(untilMillis: Long) {
        avoidUntilMillis = maxOf(avoidUntilMillis, untilMillis)
    }

    fun isAvoided(nowMillis: Long) = nowMillis < avoidUntilMillis

    /** Last reported wait, which decays with a half-life of [HALF_LIFE_MILLIS]. */
    fun expectedWaitMillis(tier: Tier, nowMillis: Long): Double {
        val ageMillis = (nowMillis - waitAtMillis[tier.ordinal]).coerceAtLeast(0)
        return waitMillis[tier.ordinal] * HALF.pow(ageMillis / HALF_LIFE_MILLIS)
    }

    /** Estimated outstanding prefill time of requests that this entry dispatched. */
    fun ownBacklogMillis(nowMillis: Long): Double =
        (prefillUntilMillis - nowMillis).coerceAtLeast(0.0)

    fun recordDispatch(prefillTokens: Int, nowMillis: Long) {
        inService++
        prefillUntilMillis =
            maxOf(prefillUntilMillis, nowMillis.toDouble()) +
                prefillTokens * prefill.millisPerToken()
    }

    private companion object {
        const val HALF = 0.5
        const val HALF_LIFE_MILLIS = 1_000.0
    }
}
