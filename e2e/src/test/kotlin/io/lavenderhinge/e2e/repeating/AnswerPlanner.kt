package io.lavenderhinge.e2e.repeating

import kotlin.random.Random
import kotlinx.collections.immutable.toImmutableList

/** Draws the plan of each answer from [seed], the request and the server that answers it. */
internal class AnswerPlanner(private val seed: Long) {
    fun plan(requestId: String, serverId: String): AnswerPlan {
        val random = Random(seed * SEED_FACTOR + "$requestId/$serverId".hashCode())
        return AnswerPlan(
            outcome = outcome(random),
            framing = BodyFraming.entries.random(random),
            executionMillis = random.nextLong(MAX_EXECUTION_MILLIS),
            bodyPauseMillis = pauseMillis(random),
            bodySizeBytes = random.nextInt(MAX_BODY_BYTES),
            eventCount = random.nextInt(1, MAX_EVENTS),
            copies =
                List(if (random.nextDouble() < COPY_SHARE) 1 else 0) { copy(random) }
                    .toImmutableList(),
        )
    }

    private fun outcome(random: Random): AnswerOutcome {
        val point = random.nextDouble()
        return when {
            point < FAILURE_SHARE -> AnswerOutcome.FAILURE
            point < FAILURE_SHARE + REFUSAL_SHARE -> AnswerOutcome.REFUSAL
            point < FAILURE_SHARE + 2 * REFUSAL_SHARE -> AnswerOutcome.REFUSAL_WITHOUT_ID
            else -> AnswerOutcome.SUCCESS
        }
    }

    private fun copy(random: Random) =
        CopyPlan(
            hasId = random.nextBoolean(),
            timing = timing(random),
            extent = extent(random),
            headShare = random.nextDouble(),
            skippedRequestCount = if (random.nextDouble() < RARE_SHARE) 1 else 0,
            bodyPauseMillis = pauseMillis(random),
            count = if (random.nextDouble() < RARE_SHARE) 2 else 1,
        )

    private fun timing(random: Random): CopyTiming =
        when (random.nextInt(TIMING_COUNT)) {
            0 -> CopyTiming.AtRequest
            1 -> CopyTiming.BeforeAnswer
            2 -> CopyTiming.After(random.nextLong(1, MAX_DELAY_MILLIS))
            else -> CopyTiming.BegunEarly(random.nextInt(1, MAX_EARLY_BYTES))
        }

    private fun extent(random: Random): CopyExtent {
        val point = random.nextDouble()
        return when {
            point < BREAK_SHARE -> CopyExtent.BODY_BREAKS_OFF
            point < 2 * BREAK_SHARE -> CopyExtent.BODY_BREAKS_OFF_AND_CLOSES
            point < 3 * BREAK_SHARE -> CopyExtent.HEAD_BREAKS_OFF
            else -> CopyExtent.WHOLE
        }
    }

    private fun pauseMillis(random: Random): Long =
        if (random.nextDouble() < RARE_SHARE) random.nextLong(1, MAX_PAUSE_MILLIS) else 0

    private companion object {
        const val SEED_FACTOR = 1_000_003
        const val FAILURE_SHARE = 0.2
        const val REFUSAL_SHARE = 0.05
        const val COPY_SHARE = 0.4
        const val BREAK_SHARE = 0.06
        const val RARE_SHARE = 0.25
        const val TIMING_COUNT = 4
        const val MAX_EXECUTION_MILLIS = 12L
        const val MAX_PAUSE_MILLIS = 6L
        const val MAX_DELAY_MILLIS = 300L
        const val MAX_EARLY_BYTES = 300
        const val MAX_BODY_BYTES = 2_000
        const val MAX_EVENTS = 6
    }
}
