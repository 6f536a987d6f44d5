package io.lavenderhinge.core.forwarding

import io.lavenderhinge.core.quarantine.CrashSuspect
import io.lavenderhinge.core.quarantine.QuarantineDecision
import io.lavenderhinge.core.quarantine.RequestContent
import io.lavenderhinge.core.quarantine.RequestQuarantine

/** Applies the [quarantine] to the requests of a [Dispatcher]. */
internal class QuarantineGate(private val quarantine: RequestQuarantine) {
    private var checkedRevision = 0

    /** Returns the refusal of a request that arrives or that is repeated, or null. */
    fun refusal(request: DispatchRequest, peerCount: Int, nowMillis: Long): DispatchEffect.Refuse? {
        if (quarantine.isIdle) return null
        val decision =
            quarantine.decide(
                request.service,
                contentOf(request),
                request.hasLostServer,
                peerCount,
                nowMillis,
            )
        return when (decision) {
            is QuarantineDecision.Admit -> null
            is QuarantineDecision.Quarantined ->
                refuse(request, DispatchRefusal.QUARANTINED, decision.content)
            is QuarantineDecision.Suspected ->
                refuse(request, DispatchRefusal.SUSPECTED, decision.content)
        }
    }

    /** Removes requests with parts that were quarantined after they had been queued. */
    fun refuseQueued(queues: Collection<MutableList<DispatchRequest>>): List<DispatchEffect> {
        if (quarantine.revision == checkedRevision) return emptyList()
        checkedRevision = quarantine.revision
        return queues.flatMap(::refuseQueued)
    }

    private fun refuseQueued(queue: MutableList<DispatchRequest>): List<DispatchEffect> {
        val refusals =
            queue.mapNotNull { request ->
                quarantine.quarantinedIn(request.service, contentOf(request))?.let {
                    refuse(request, DispatchRefusal.QUARANTINED, it)
                }
            }
        val refusedIds = refusals.mapTo(HashSet()) { it.requestId }
        queue.removeIf { it.id in refusedIds }
        return refusals
    }

    /** Learns from the outcome of [attempt]. [isServerSilent]: its server sent nothing since. */
    fun onFinished(attempt: FinishedAttempt, isServerSilent: Boolean, nowMillis: Long) {
        val server = attempt.server
        val content = RequestContent(partIds(attempt.promptParts), attempt.digest)
        when (attempt.outcome) {
            is ServerOutcome.Answered -> quarantine.onAnswered(server.service, content, nowMillis)
            is ServerOutcome.ConnectionLost ->
                quarantine.onCrash(server.run, server.service, content, nowMillis)
            is ServerOutcome.Unresponsive ->
                if (isServerSilent) {
                    quarantine.onCrash(server.run, server.service, content, nowMillis)
                }
            is ServerOutcome.Failed,
            is ServerOutcome.Stalled,
            is ServerOutcome.Unreachable,
            is ServerOutcome.Full,
            is ServerOutcome.Inconclusive -> Unit
        }
    }

    private fun refuse(request: DispatchRequest, reason: DispatchRefusal, content: CrashSuspect) =
        DispatchEffect.Refuse(request.id, reason, RETRY_MILLIS, "$content")

    private fun contentOf(request: DispatchRequest) =
        RequestContent(partIds(request.promptParts), request.digest)

    private fun partIds(parts: List<PromptPart>): List<String> = parts.map { it.id }

    private companion object {
        /** A part stays in quarantine for minutes. */
        const val RETRY_MILLIS = 60_000L
    }
}
