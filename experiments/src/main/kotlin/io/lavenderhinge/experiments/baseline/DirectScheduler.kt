package io.lavenderhinge.experiments.baseline

import io.lavenderhinge.core.port.EngineFault
import io.lavenderhinge.core.port.ListedMember
import io.lavenderhinge.core.port.MemberKind
import io.lavenderhinge.experiments.scheduler.InstanceContext
import io.lavenderhinge.experiments.scheduler.InstanceScheduler
import io.lavenderhinge.experiments.scheduler.ScheduledRequest
import io.lavenderhinge.experiments.scheduler.SchedulerEffect
import io.lavenderhinge.experiments.scheduler.SchedulerEvent
import io.lavenderhinge.experiments.scheduler.ShedReason
import io.lavenderhinge.experiments.workload.serves

/**
 * Sends each request on arrival to the backend server that [selection] picks, without queue,
 * priority, retry or messages to other instances. Engines serve requests in arrival order.
 */
internal class DirectScheduler(
    context: InstanceContext,
    private val selection: ServerSelection,
    private val watchesLoad: Boolean = false,
) : InstanceScheduler {
    private val view = LocalLoadView(context.random)
    private val serverByRequest = HashMap<String, String>()
    private var members: List<ListedMember> = context.members

    override fun handle(event: SchedulerEvent, nowMillis: Long): List<SchedulerEffect> =
        when (event) {
            is SchedulerEvent.Started -> watch()
            is SchedulerEvent.MembersListed -> updateMembers(event)
            is SchedulerEvent.RequestArrived -> dispatch(event.request)
            is SchedulerEvent.LoadReported -> recordLoad(event)
            is SchedulerEvent.Completed -> recordEnd(event.requestId)
            is SchedulerEvent.CallerDisconnected -> recordEnd(event.requestId)
            is SchedulerEvent.Failed -> handleFailure(event)
            else -> emptyList()
        }

    private fun updateMembers(event: SchedulerEvent.MembersListed): List<SchedulerEffect> {
        members = event.members
        return watch()
    }

    private fun watch(): List<SchedulerEffect> {
        if (!watchesLoad) return emptyList()
        val backends = members.filter { it.kind != MemberKind.INSTANCE }
        return listOf(
            SchedulerEffect.WatchServers(
                backends.map { it.id }.toSet(),
                cacheServerIds = emptySet(),
            )
        )
    }

    private fun dispatch(request: ScheduledRequest): List<SchedulerEffect> {
        val candidates = members.filter { serves(it, request.target) && !it.leaving }
        if (candidates.isEmpty()) return refuse(request.id)
        val serverId = selection.select(candidates.map { it.id }, view)
        serverByRequest[request.id] = serverId
        view.recordDispatch(serverId)
        return listOf(SchedulerEffect.Dispatch(request.id, serverId))
    }

    private fun recordLoad(event: SchedulerEvent.LoadReported): List<SchedulerEffect> {
        view.reports[event.serverId] = event.report
        return emptyList()
    }

    private fun handleFailure(event: SchedulerEvent.Failed): List<SchedulerEffect> {
        recordEnd(event.requestId)
        val hasEnded = event.fault is EngineFault.OutcomeUnknown
        return if (hasEnded) emptyList() else refuse(event.requestId)
    }

    private fun recordEnd(requestId: String): List<SchedulerEffect> {
        serverByRequest.remove(requestId)?.let(view::recordEnd)
        return emptyList()
    }

    private fun refuse(requestId: String) =
        listOf(SchedulerEffect.Refuse(requestId, ShedReason.SERVER_DOWN))
}
