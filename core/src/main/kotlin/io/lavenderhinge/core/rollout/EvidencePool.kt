package io.lavenderhinge.core.rollout

import kotlin.math.exp
import kotlin.math.ln

/**
 * All tests of one rollout (each metric on each route), combined into one with one error
 * probability.
 *
 * The weighted sum of e-values is an e-value under any dependence. The weights fall with the order
 * in which routes appear and sum to at most 1, so that the number of routes need not be known.
 */
class EvidencePool(
    private val window: TestWindow,
    private val factory: SequentialTestFactory = TwoSampleEvidence.factory,
    private val carried: Map<String, Double> = emptyMap(),
) {
    private val tests = LinkedHashMap<String, WeightedTest>()

    init {
        carried.keys.map(::routeOf).distinct().forEach(::addRoute)
    }

    /** Routes that have had traffic. */
    val routes: Set<String>
        get() = tests.keys.mapTo(LinkedHashSet(), ::routeOf)

    /** Logarithm of the combined evidence against the new version. */
    val logEvidence: Double
        get() {
            val weighted = tests.values.map { ln(it.weight) + it.test.logEvidence }
            return logSum(weighted.toDoubleArray())
        }

    /** The single test with the most evidence; null before any traffic. */
    val strongest: TestResult?
        get() =
            tests.entries
                .maxByOrNull { ln(it.value.weight) + it.value.test.logEvidence }
                ?.let { TestResult(routeOf(it.key), metricOf(it.key), it.value.test.logEvidence) }

    /** Adds the counts of [route] in one interval. */
    fun observe(route: String, counts: RouteCounts, nowMillis: Long) {
        if (testName(route, Metric.ERRORS) !in tests) addRoute(route)
        for (metric in Metric.entries) {
            tests
                .getValue(testName(route, metric))
                .test
                .observe(Block.of(counts, metric), nowMillis)
        }
    }

    /** Evidence by test name, to be carried over a change of step or of mover. */
    fun snapshot(): Map<String, Double> = tests.mapValues { it.value.test.logEvidence }

    private fun addRoute(route: String) {
        val order = tests.size / Metric.entries.size
        val weight = 1.0 / ((order + 1) * (order + 2)) / Metric.entries.size
        for (metric in Metric.entries) {
            val name = testName(route, metric)
            tests[name] = WeightedTest(weight, factory.create(metric, window, carried[name]))
        }
    }

    private class WeightedTest(val weight: Double, val test: SequentialTest)

    private companion object {
        fun testName(route: String, metric: Metric) = "${metric.name.lowercase()}:$route"

        fun routeOf(testName: String) = testName.substringAfter(':')

        fun metricOf(testName: String) = Metric.valueOf(testName.substringBefore(':').uppercase())
    }
}

/** State of the test of [metric] on [route]. */
data class TestResult(val route: String, val metric: Metric, val logEvidence: Double) {
    /** The evidence as odds for operators, such as "3 to 1". */
    val odds: String
        get() = "%.0f to 1".format(java.util.Locale.ROOT, exp(logEvidence.coerceIn(0.0, MAX_LOG)))

    private companion object {
        const val MAX_LOG = 30.0
    }
}
