package io.lavenderhinge.experiments.cluster

import io.lavenderhinge.experiments.engine.BackendJob
import io.lavenderhinge.experiments.scheduler.ShedReason
import io.lavenderhinge.experiments.time.EventLoop

/** Tracks all requests of a run and checks that each one ends exactly once. */
class RequestRegistry(private val loop: EventLoop, private val violations: ViolationLog) {
    private val activeById = LinkedHashMap<String, RequestRecord>()
    private val allRecords = ArrayList<RequestRecord>()

    val active: Collection<RequestRecord>
        get() = activeById.values

    val records: List<RequestRecord>
        get() = allRecords

    fun register(job: BackendJob, entryId: String): RequestRecord {
        val record = RequestRecord(job, entryId, loop.nowMicros)
        activeById[job.request.id] = record
        allRecords += record
        return record
    }

    /** Returns the request with [requestId], or null if it has ended. */
    fun findActive(requestId: String): RequestRecord? = activeById[requestId]

    fun end(record: RequestRecord, outcome: Outcome, reason: ShedReason? = null) {
        if (record.phase == Phase.ENDED) {
            violations.record(Invariant.ENDS_ONCE, "${record.request.id} ended twice, now $outcome")
            return
        }
        activeById.remove(record.request.id)
        record.deadlineTimer?.cancel()
        record.phase = Phase.ENDED
        record.outcome = outcome
        record.shedReason = reason
        record.durationMillis = (loop.nowMicros - record.arrivalMicros) / 1000.0
    }

    /** Must be called after the last event of the run. */
    fun checkAllEnded() {
        for (record in activeById.values) {
            violations.record(Invariant.ENDS_ONCE, "${record.request.id} never ended")
        }
    }
}
