package io.lavenderhinge.core.routing

import io.lavenderhinge.core.Tier
import io.lavenderhinge.core.scheduling.RefusalReason
import kotlin.random.Random

/** Chooses the refusal for a request that got no slot, and the backoff before its next round. */
internal class RefusalPolicy(private val settings: RoutingSettings, private val random: Random) {
    fun shutdown() =
        SlotRefusal(
            SlotRefusalReason.SHUTDOWN,
            MIN_RETRY_MILLIS,
            "this instance is shutting down; send the request to another instance",
        )

    fun retryBudget() =
        SlotRefusal(
            SlotRefusalReason.RETRY_BUDGET,
            settings.backoffCapMillis,
            "the retry budget of the workspace is exhausted; retry later and at a lower rate",
        )

    fun noServer(request: SlotRequest) =
        SlotRefusal(
            SlotRefusalReason.NO_SERVER,
            settings.backoffCapMillis,
            "no live backend server serves ${request.target.name} in version " +
                "${request.version}; check that version in the settings and the live list",
        )

    fun deadline(waiting: PendingRequest) =
        SlotRefusal(
            SlotRefusalReason.DEADLINE,
            retryAfterMillis(waiting),
            "no backend server can answer before the deadline; allow more time or retry later",
        )

    /** Returns the refusal after every reachable home has refused. */
    fun afterRound(waiting: PendingRequest): SlotRefusal {
        val reasons = waiting.refusals.values.map { it.reason }
        if (reasons.isNotEmpty() && reasons.all { it == RefusalReason.DEADLINE }) {
            return deadline(waiting)
        }
        return SlotRefusal(
            SlotRefusalReason.OVERLOADED,
            retryAfterMillis(waiting),
            "all backend servers of ${waiting.request.target.name} are busy with requests of " +
                "this or a higher tier; retry after the stated time",
        )
    }

    /** Returns true if another round can succeed: the reason is transient and time remains. */
    fun mayWait(refusal: SlotRefusal, waiting: PendingRequest, nowMillis: Long): Boolean =
        refusal.reason in RETRIABLE &&
            nowMillis + settings.backoffCapMillis < waiting.request.deadlineMillis

    /** Exponential backoff with full jitter. */
    fun backoffMillis(waiting: PendingRequest): Long {
        val bound = settings.backoffBaseMillis shl waiting.rounds.coerceAtMost(MAX_DOUBLINGS)
        return random.nextLong(minOf(bound, settings.backoffCapMillis) + 1)
    }

    /**
     * Returns true if shedding the interactive request now would violate the tier order: a home
     * that serves a lower tier was not asked to preempt it, or was asked and still refused with a
     * full queue.
     */
    fun violatesTierOrder(waiting: PendingRequest): Boolean =
        waiting.request.tier == Tier.INTERACTIVE &&
            waiting.openRequests.isEmpty() &&
            waiting.refusals.any { (serverId, refusal) ->
                refusal.lowerTierCount > 0 &&
                    (serverId !in waiting.preemptionRequested ||
                        refusal.reason == RefusalReason.QUEUE_FULL)
            }

    /** The shortest wait reported by a home, with jitter so that callers do not retry in sync. */
    private fun retryAfterMillis(waiting: PendingRequest): Long {
        val waitMillis = waiting.refusals.values.minOfOrNull { it.expectedWaitMillis } ?: 0
        val bounded = waitMillis.coerceIn(MIN_RETRY_MILLIS, MAX_RETRY_MILLIS)
        return bounded + random.nextLong(bounded / 2 + 1)
    }

    private companion object {
        const val MIN_RETRY_MILLIS = 1_000L
        const val MAX_RETRY_MILLIS = 60_000L
        const val MAX_DOUBLINGS = 10
        val RETRIABLE = setOf(SlotRefusalReason.OVERLOADED, SlotRefusalReason.NO_SERVER)
    }
}
