package io.lavenderhinge.core.forwarding

import io.lavenderhinge.core.quarantine.RequestQuarantine

/** Collects what an instance reports to its peers. */
internal class LoadReporter(
    private val failureDomain: String,
    private val pools: Map<String, ServerPool>,
    private val policies: Map<String, QueuePolicy>,
    private val queues: Map<String, List<DispatchRequest>>,
    private val quarantine: RequestQuarantine,
    private val rateLimits: ServerRateLimits,
    private val startRound:
        (pool: ServerPool, queue: Collection<DispatchRequest>, nowMillis: Long) -> PlacementRound,
) {
    /** Returns the report at [nowMillis]. */
    fun report(nowMillis: Long) =
        LoadReport(
            pools.values.flatMap { it.usage() }.toMap(),
            queues.values
                .flatten()
                .groupBy { QueueKey(it.service, it.priority) }
                .mapValues { (_, requests) -> queueState(requests, nowMillis) },
            quarantine.report(nowMillis),
            rateLimits.reports(nowMillis),
            pools.values.flatMap { it.promptMatching.reports(nowMillis) },
            pools.values
                .flatMap { it.statedLoads.reports(nowMillis) }
                .sortedBy { it.ageMillis }
                .take(PoolStatedLoads.MAX_REPORTED),
            workspaceUses(nowMillis),
            rateLimits.cold.reports(nowMillis),
            failureDomain,
            pools.values.mapNotNull { it.spillover.domainLoad() },
        )

    private fun workspaceUses(nowMillis: Long): Map<WorkspaceKey, WorkspaceUse> =
        pools
            .filterValues { it.features.hasFairShares }
            .flatMap { (service, pool) ->
                val policy = policies.getValue(service)
                val waiting =
                    queues[service]
                        .orEmpty()
                        .filterNot { policy.isLate(it, nowMillis) }
                        .groupingBy { WorkspaceKey(service, it.priority, it.chargedWorkspace) }
                        .eachCount()
                val ownMillis = pool.accounts.ownMillis(service, nowMillis)
                (ownMillis.keys + waiting.keys).map {
                    it to WorkspaceUse(ownMillis[it] ?: 0.0, waiting[it] ?: 0)
                }
            }
            .toMap()

    private fun queueState(requests: List<DispatchRequest>, nowMillis: Long): QueueState {
        val service = requests.first().service
        val policy = policies.getValue(service)
        val round = startRound(pools.getValue(service), requests, nowMillis)
        val head = policy.ordered(requests, round).others.first()
        return QueueState(
            requests.size,
            nowMillis - head.arrivedMillis,
            isHeadLate = policy.isLate(head, nowMillis),
        )
    }
}
