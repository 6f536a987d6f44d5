package io.lavenderhinge.core.rollout

/** Requests of both versions on one route in one interval, and how many of them had the event. */
data class Block(
    val oldRequests: Long,
    val oldEvents: Long,
    val newRequests: Long,
    val newEvents: Long,
) {
    companion object {
        /** The part of [counts] that [metric] is about. */
        fun of(counts: RouteCounts, metric: Metric): Block =
            Block(
                oldRequests = counts.old.requests,
                oldEvents = counts.old.eventsOf(metric),
                newRequests = counts.new.requests,
                newEvents = counts.new.eventsOf(metric),
            )
    }
}

/**
 * A test of "the new version is no worse than the old one" that may be looked at after every block.
 */
interface SequentialTest {
    /**
     * Natural logarithm of the evidence against the new version. Under the hypothesis that it is no
     * worse, the probability that the evidence ever reaches `1/p` is at most `p`.
     */
    val logEvidence: Double

    /**
     * Adds one block of [route], in order of time. A test of several routes compares each of them
     * with the old version on the same route.
     */
    fun observe(route: String, block: Block, nowMillis: Long)
}

/** Creates the test of one metric on one route, with evidence carried over from an earlier one. */
fun interface SequentialTestFactory {
    /** [carriedLogEvidence] is null for a test that begins with the rollout. */
    fun create(metric: Metric, window: TestWindow, carriedLogEvidence: Double?): SequentialTest
}

/** The planned time of a rollout, in epoch milliseconds. */
data class TestWindow(val startMillis: Long, val deadlineMillis: Long)
