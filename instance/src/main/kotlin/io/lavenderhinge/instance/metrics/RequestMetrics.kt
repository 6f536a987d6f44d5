package io.lavenderhinge.instance.metrics

import io.lavenderhinge.core.Tier
import io.micrometer.core.instrument.MeterRegistry
import io.micrometer.core.instrument.Timer
import java.time.Duration
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit

/**
 * Histograms and counters of requests.
 *
 * Histograms are labelled by tier; total request time is also labelled by workspace. Workspaces
 * beyond [MAX_WORKSPACE_LABELS] share the label `other`, which bounds the memory that 4,800
 * workspaces would need.
 */
class RequestMetrics(private val registry: MeterRegistry) {
    private val labelledWorkspaces = ConcurrentHashMap.newKeySet<String>()

    /** Records the time from arrival until a slot is granted. */
    fun recordQueueWait(tier: Tier, millis: Long) =
        recordMillis("lavenderhinge.queue.wait", tier, millis)

    /** Records the time from arrival to the first token, as seen by the caller. */
    fun recordFirstToken(tier: Tier, millis: Long) =
        recordMillis("lavenderhinge.first.token", tier, millis)

    /** Records the mean time between the tokens of a response. */
    fun recordBetweenTokens(tier: Tier, micros: Long) =
        timer("lavenderhinge.between.tokens", "tier", tierLabel(tier), SHORT_BUCKETS)
            .record(micros, TimeUnit.MICROSECONDS)

    /** Records the total time of a successful request. */
    fun recordAnswered(tier: Tier, workspace: String, millis: Long, metTargets: Boolean) {
        recordMillis("lavenderhinge.request", tier, millis)
        timer(
                "lavenderhinge.workspace.request",
                "workspace",
                workspaceLabel(workspace),
                LONG_BUCKETS,
            )
            .record(millis, TimeUnit.MILLISECONDS)
        if (metTargets)
            registry.counter("lavenderhinge.goodput", "tier", tierLabel(tier)).increment()
    }

    /**
     * Records a completed request of the users' platform. [priority] is its rank; [result] is its
     * status class, or how it ended if it has none.
     */
    fun recordGatewayRequest(priority: Int, workspace: String?, result: String, millis: Long) {
        timer("lavenderhinge.gateway.request", "priority", "$priority", LONG_BUCKETS)
            .record(millis, TimeUnit.MILLISECONDS)
        if (workspace != null) {
            timer(
                    "lavenderhinge.workspace.request",
                    "workspace",
                    workspaceLabel(workspace),
                    LONG_BUCKETS,
                )
                .record(millis, TimeUnit.MILLISECONDS)
        }
        registry
            .counter("lavenderhinge.gateway.results", "priority", "$priority", "result", result)
            .increment()
    }

    /**
     * Counts responses of backend servers that were `skipped` as those of other requests, or
     * accepted although `unidentified`.
     */
    fun recordUnusualResponses(kind: String, count: Int) {
        if (count == 0) return
        registry
            .counter("lavenderhinge.gateway.unusual.responses", "kind", kind)
            .increment(count.toDouble())
    }

    /**
     * Counts prompt tokens that were sent to backend servers: those that a server had to `read`, or
     * that were expected to be `cached` there.
     */
    fun recordPromptTokens(expected: String, tokens: Double) {
        if (tokens <= 0) return
        registry
            .counter("lavenderhinge.gateway.prompt.tokens", "expected", expected)
            .increment(tokens)
    }

    /** Counts a request of the users' platform that was rejected at admission. */
    fun recordGatewayRejection(reason: String) =
        registry.counter("lavenderhinge.gateway.rejections", "reason", reason).increment()

    /** Counts a statement of a backend server that was ignored for [reason]. */
    fun recordIgnoredStatement(reason: String) =
        registry.counter("lavenderhinge.gateway.ignored.statements", "reason", reason).increment()

    /** Counts a backend server that has become cold. */
    fun recordColdServer() = registry.counter("lavenderhinge.gateway.cold.servers").increment()

    /** Counts an ejection of a backend server of [service] from its pool. */
    fun recordEjection(service: String) =
        registry.counter("lavenderhinge.gateway.ejections", "service", service).increment()

    /** Records how late the timers of the traffic thread run. */
    fun recordLoopDelay(millis: Long) =
        Timer.builder("lavenderhinge.traffic.delay")
            .serviceLevelObjectives(*LONG_BUCKETS)
            .register(registry)
            .record(millis, TimeUnit.MILLISECONDS)

    /** Counts the time that the traffic thread spent on [activity]. */
    fun recordLoopActivity(activity: String, millis: Long) {
        if (millis == 0L) return
        registry
            .counter("lavenderhinge.traffic.activity.millis", "activity", activity)
            .increment(millis.toDouble())
    }

    /** Counts a request that failed with a problem document. */
    fun recordProblem(tier: Tier?, code: String, outcome: String) =
        registry
            .counter(
                "lavenderhinge.problems",
                "tier",
                tier?.let(::tierLabel) ?: "none",
                "code",
                code,
                "outcome",
                outcome,
            )
            .increment()

    /** Counts the ledger result of a non-idempotent request. */
    fun recordLedgerResult(result: String) =
        registry.counter("lavenderhinge.ledger.results", "result", result).increment()

    /** Counts prompt tokens of requests that did not complete, whose prefill was wasted. */
    fun recordWastedPrefill(tier: Tier, tokens: Int) =
        registry
            .counter("lavenderhinge.prefill.wasted.tokens", "tier", tierLabel(tier))
            .increment(tokens.toDouble())

    /** Counts a request sent to a version of a target. */
    fun recordDispatch(target: String, version: String) =
        registry
            .counter("lavenderhinge.dispatched", "target", target, "version", version)
            .increment()

    private fun recordMillis(name: String, tier: Tier, millis: Long) =
        timer(name, "tier", tierLabel(tier), LONG_BUCKETS).record(millis, TimeUnit.MILLISECONDS)

    private fun timer(name: String, tag: String, value: String, buckets: Array<Duration>): Timer =
        Timer.builder(name).tag(tag, value).serviceLevelObjectives(*buckets).register(registry)

    private fun workspaceLabel(workspace: String): String {
        if (workspace in labelledWorkspaces) return workspace
        if (labelledWorkspaces.size >= MAX_WORKSPACE_LABELS) return "other"
        labelledWorkspaces.add(workspace)
        return workspace
    }

    private fun tierLabel(tier: Tier) = tier.name.lowercase()

    private companion object {
        const val MAX_WORKSPACE_LABELS = 512
        val LONG_BUCKETS = buckets(5, 20, 50, 100, 250, 500, 1_000, 2_500, 5_000, 15_000, 60_000)
        val SHORT_BUCKETS = buckets(5, 10, 20, 30, 46, 60, 100, 250, 1_000)

        fun buckets(vararg millis: Long): Array<Duration> =
            millis.map { Duration.ofMillis(it) }.toTypedArray()
    }
}
