package io.lavenderhinge.core.rollout

import kotlin.math.exp
import kotlin.math.ln

/**
 * Combines all tests of one rollout, one per metric and route, into a single test with one error
 * probability.
 *
 * A weighted sum of e-values is an e-value under any dependence. Half of the weight goes to tests
 * over all routes, which need fewer requests to detect a fault that affects every route. The other
 * half goes to the single routes with weights that decrease in order of appearance, so the number
 * of routes need not be known in advance.
 */
class CombinedEvidence(
    private val window: TestWindow,
    private val factory: SequentialTestFactory = TwoSampleEvidence.factory,
    private val carriedLogEvidence: Map<String, Double> = emptyMap(),
) {
    private val tests = LinkedHashMap<String, WeightedTest>()

    init {
        addTests(ALL_ROUTES, ALL_ROUTES_WEIGHT)
        carriedLogEvidence.keys
            .map(::routeOf)
            .distinct()
            .filter { it != ALL_ROUTES }
            .forEach(::addRoute)
    }

    /** Routes with traffic so far. */
    val routes: Set<String>
        get() = tests.keys.map(::routeOf).filterTo(LinkedHashSet()) { it != ALL_ROUTES }

    /** Logarithm of the combined evidence against the new version. */
    val logEvidence: Double
        get() {
            val weighted = tests.values.map { ln(it.weight) + it.test.logEvidence }
            return logSumExp(weighted.toDoubleArray())
        }

    /**
     * The test with the largest weighted evidence, or null before any traffic. The route is
     * [ALL_ROUTES] for a test over several routes.
     */
    val strongest: TestResult?
        get() {
            val hasSingleRoute = routes.size == 1
            return tests.entries
                .filterNot { hasSingleRoute && routeOf(it.key) == ALL_ROUTES }
                .maxByOrNull { ln(it.value.weight) + it.value.test.logEvidence }
                ?.let { TestResult(routeOf(it.key), metricOf(it.key), it.value.test.logEvidence) }
        }

    /** Log evidence of the stronger test of [route] alone; null before any traffic. */
    fun logEvidenceOf(route: String): Double? =
        Metric.entries.mapNotNull { tests[testName(route, it)]?.test?.logEvidence }.maxOrNull()

    /** Adds the counts of [route] in one time interval. */
    fun observe(route: String, counts: RouteCounts, nowMillis: Long) {
        if (testName(route, Metric.ERRORS) !in tests) addRoute(route)
        for (metric in Metric.entries) {
            val block = Block.of(counts, metric)
            for (scope in listOf(ALL_ROUTES, route)) {
                tests.getValue(testName(scope, metric)).test.observe(route, block, nowMillis)
            }
        }
    }

    /** Log evidence by test name, for the next step or the next controller. */
    fun snapshot(): Map<String, Double> = tests.mapValues { it.value.test.logEvidence }

    private fun addRoute(route: String) {
        val position = tests.size / Metric.entries.size - 1
        addTests(route, (1 - ALL_ROUTES_WEIGHT) / ((position + 1) * (position + 2)))
    }

    private fun addTests(route: String, weight: Double) {
        for (metric in Metric.entries) {
            val name = testName(route, metric)
            val test = factory.create(metric, window, carriedLogEvidence[name])
            tests[name] = WeightedTest(weight / Metric.entries.size, test)
        }
    }

    private class WeightedTest(val weight: Double, val test: SequentialTest)

    /** Test names and weights. */
    companion object {
        /** Route name of the tests over all routes. */
        const val ALL_ROUTES = "*"
        private const val ALL_ROUTES_WEIGHT = 0.5

        private fun testName(route: String, metric: Metric) = "${metric.name.lowercase()}:$route"

        private fun routeOf(testName: String) = testName.substringAfter(':')

        private fun metricOf(testName: String) =
            Metric.valueOf(testName.substringBefore(':').uppercase())
    }
}

/** Current result of the test of [metric] on [route]. */
data class TestResult(val route: String, val metric: Metric, val logEvidence: Double) {
    /** The evidence as odds, such as "3 to 1", for status messages. */
    val odds: String
        get() = "%.0f to 1".format(java.util.Locale.ROOT, exp(logEvidence.coerceIn(0.0, MAX_LOG)))

    private companion object {
        const val MAX_LOG = 30.0
    }
}
