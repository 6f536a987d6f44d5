package io.lavenderhinge.core.rollout

/**
 * Requests of both versions on one route in one time interval, and the number of events among them,
 * such as errors.
 */
data class Block(
    val oldRequests: Long,
    val oldEvents: Long,
    val newRequests: Long,
    val newEvents: Long,
) {
    companion object {
        /** Extracts the counts of [metric]. */
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
 * Sequential test of the hypothesis that the new version is no worse than the old one. The result
 * is valid after every block.
 */
interface SequentialTest {
    /**
     * Natural logarithm of the evidence against the new version. If the hypothesis holds, the
     * probability that the evidence ever reaches `1/p` is at most `p`.
     */
    val logEvidence: Double

    /**
     * Adds one block of [route], in chronological order. A test over several routes compares both
     * versions separately on each route.
     */
    fun observe(route: String, block: Block, nowMillis: Long)
}

/** Creates the test of one metric, optionally with evidence carried over from an earlier test. */
fun interface SequentialTestFactory {
    /** [carriedLogEvidence] is null for a test that starts without earlier evidence. */
    fun create(metric: Metric, window: TestWindow, carriedLogEvidence: Double?): SequentialTest
}

/** Planned time range of a rollout, in epoch milliseconds. */
data class TestWindow(val startMillis: Long, val deadlineMillis: Long)
