package io.lavenderhinge.experiments.cluster

import io.lavenderhinge.core.port.EngineFault
import io.lavenderhinge.core.port.MemberKind
import io.lavenderhinge.experiments.engine.Backend
import io.lavenderhinge.experiments.engine.BackendJob
import io.lavenderhinge.experiments.engine.BackendListener
import io.lavenderhinge.experiments.scheduler.SchedulerEvent
import io.lavenderhinge.experiments.scheduler.ShedReason
import io.lavenderhinge.experiments.time.EventLoop
import io.lavenderhinge.experiments.workload.Deployment

/** Simulates streams between entry instances and backend servers, with link delays and faults. */
class RequestStreams(
    private val deployment: Deployment,
    private val loop: EventLoop,
    private val network: Network,
    private val requests: RequestRegistry,
    private val violations: ViolationLog,
    private val deliver: (String, SchedulerEvent) -> Unit,
) : BackendListener {
    /** Populated by the cluster, because backend servers take this listener as an argument. */
    val backends = LinkedHashMap<String, Backend>()
    private val priorityCheck = PriorityCheck(loop, network, requests, violations)

    fun dispatch(entryId: String, requestId: String, serverId: String) {
        val record = activeRecordOf(entryId, requestId) ?: return
        if (record.phase != Phase.WAITING) {
            violations.record(Invariant.AT_MOST_ONCE, "$requestId dispatched while ${record.phase}")
            return
        }
        record.phase = Phase.DISPATCHED
        record.serverId = serverId
        record.dispatchMicros = loop.nowMicros
        if (network.isReachable(entryId, serverId)) {
            loop.after(network.delayMicros(entryId, serverId)) { arriveAtServer(record, serverId) }
        } else {
            loop.after(CONNECT_TIMEOUT_MICROS) {
                failNotSent(record, serverId, "connect timed out")
            }
        }
    }

    fun suspend(entryId: String, requestId: String) {
        runAtServer(entryId, requestId) { record, server ->
            if (record.phase == Phase.IN_SERVICE && server.suspend(requestId)) {
                record.phase = Phase.SUSPENDED
                deliverToEntry(record, server.id) {
                    deliver(entryId, SchedulerEvent.Suspended(requestId, server.id))
                }
            }
        }
    }

    fun resume(entryId: String, requestId: String) {
        runAtServer(entryId, requestId) { record, server ->
            if (record.phase == Phase.SUSPENDED && server.resume(requestId)) {
                record.phase = Phase.IN_SERVICE
            }
        }
    }

    /** Ends a request in any phase because the scheduler sheds it. */
    fun shed(entryId: String, requestId: String, reason: ShedReason) {
        val record = activeRecordOf(entryId, requestId) ?: return
        priorityCheck.check(record, reason)
        endAndCancel(record, Outcome.SHED, reason)
    }

    /** Ends a request and cancels it on its backend server, if it has one. */
    fun endAndCancel(record: RequestRecord, outcome: Outcome, reason: ShedReason? = null) {
        val serverId = record.serverId
        requests.end(record, outcome, reason)
        if (serverId == null) return
        loop.after(network.delayMicros(record.entryId, serverId)) {
            backends.getValue(serverId).cancel(record.request.id)
        }
    }

    /** Fails the accepted streams that cross a partition and cancels them on their servers. */
    fun failPartitioned(isPartitioned: (RequestRecord, String) -> Boolean) {
        for (record in requests.active.toList()) {
            val serverId = record.serverId ?: continue
            val isAccepted = record.phase == Phase.IN_SERVICE || record.phase == Phase.SUSPENDED
            if (!isAccepted || !isPartitioned(record, serverId)) continue
            backends.getValue(serverId).cancel(record.request.id)
            fail(record, serverId, "stream made no progress")
        }
    }

    override fun onFirstToken(job: BackendJob, serverId: String, cachedPrefixTokens: Int) {
        val record = requests.findActive(job.request.id) ?: return
        deliverToEntry(record, serverId) {
            val clientRoundTripMicros = 2 * deployment.clientDelayMicros
            record.firstTokenMillis =
                (loop.nowMicros - record.arrivalMicros + clientRoundTripMicros) / 1000.0
            val sinceDispatchMillis = (loop.nowMicros - record.dispatchMicros) / 1000
            val id = job.request.id
            deliver(
                record.entryId,
                SchedulerEvent.FirstToken(id, serverId, sinceDispatchMillis, cachedPrefixTokens),
            )
        }
    }

    override fun onCompleted(
        job: BackendJob,
        serverId: String,
        outputTokens: Int,
        betweenTokensMillis: Double,
    ) {
        val record = requests.findActive(job.request.id) ?: return
        deliverToEntry(record, serverId) {
            if (outputTokens != job.outputTokens || record.serverId != serverId) {
                violations.record(Invariant.COMPLETE_ANSWER, "${job.request.id} is not complete")
            }
            record.betweenTokensMillis = betweenTokensMillis
            requests.end(record, Outcome.COMPLETED)
            val id = job.request.id
            deliver(
                record.entryId,
                SchedulerEvent.Completed(id, serverId, outputTokens, betweenTokensMillis),
            )
        }
    }

    override fun onFailed(job: BackendJob, serverId: String, message: String) {
        val record = requests.findActive(job.request.id) ?: return
        deliverToEntry(record, serverId) { fail(record, serverId, message) }
    }

    private fun fail(record: RequestRecord, serverId: String, message: String) {
        requests.end(record, Outcome.FAILED)
        val fault = EngineFault.OutcomeUnknown(message)
        deliver(record.entryId, SchedulerEvent.Failed(record.request.id, serverId, fault))
    }

    private fun arriveAtServer(record: RequestRecord, serverId: String) {
        if (record.phase == Phase.ENDED) return
        val server = backends.getValue(serverId)
        val returnDelayMicros = network.delayMicros(serverId, record.entryId)
        if (!server.isUp) {
            loop.after(returnDelayMicros) { failNotSent(record, serverId, "connection refused") }
            return
        }
        record.duplicatePrefillTokens = duplicatePrefillTokens(record, server)
        val refused = server.submit(record.job)
        if (refused == null) return accept(record)
        loop.after(returnDelayMicros) { returnToScheduler(record, serverId, refused) }
    }

    private fun accept(record: RequestRecord) {
        record.phase = Phase.IN_SERVICE
        record.acceptedCount++
        if (record.acceptedCount > 1) {
            violations.record(Invariant.AT_MOST_ONCE, "${record.request.id} accepted twice")
        }
    }

    private fun failNotSent(record: RequestRecord, serverId: String, message: String) =
        returnToScheduler(record, serverId, EngineFault.NotSent("$serverId: $message"))

    private fun returnToScheduler(record: RequestRecord, serverId: String, fault: EngineFault) {
        if (record.phase == Phase.ENDED) return
        record.phase = Phase.WAITING
        record.serverId = null
        deliver(record.entryId, SchedulerEvent.Failed(record.request.id, serverId, fault))
    }

    /** Prompt tokens that [server] must prefill although another replica has them cached. */
    private fun duplicatePrefillTokens(record: RequestRecord, server: Backend): Int {
        val hashes = record.request.prefixHashes
        if (hashes.isEmpty()) return 0
        val serves = network.member(server.id).serves
        val others =
            backends.values.filter {
                val member = network.member(it.id)
                it !== server && member.kind == MemberKind.MODEL_ENGINE && member.serves == serves
            }
        val best = others.maxOfOrNull { it.cachedTokens(hashes) } ?: 0
        return maxOf(0, best - server.cachedTokens(hashes))
    }

    /**
     * Runs [action] at the entry after the link delay, unless the request has ended or the link is
     * partitioned.
     */
    private fun deliverToEntry(record: RequestRecord, serverId: String, action: () -> Unit) {
        loop.after(network.delayMicros(serverId, record.entryId)) {
            val isLinked = network.isReachable(serverId, record.entryId)
            if (record.phase != Phase.ENDED && isLinked) action()
        }
    }

    private fun runAtServer(
        entryId: String,
        requestId: String,
        action: (RequestRecord, Backend) -> Unit,
    ) {
        val record = activeRecordOf(entryId, requestId) ?: return
        val serverId = record.serverId ?: return
        if (!network.isReachable(entryId, serverId)) return
        loop.after(network.delayMicros(entryId, serverId)) {
            action(record, backends.getValue(serverId))
        }
    }

    private fun activeRecordOf(entryId: String, requestId: String): RequestRecord? {
        val record = requests.findActive(requestId) ?: return null
        check(record.entryId == entryId) {
            "$entryId used request $requestId, which arrived at ${record.entryId}"
        }
        return record
    }

    private companion object {
        // Connecting to an unreachable address gets no response, so the entry waits this long.
        const val CONNECT_TIMEOUT_MICROS = 1_000_000L
    }
}
