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
 * Sends each request on arrival to the backend server that [choice] names, without queue, priority,
 * retry or messages to other instances. The engine serves first come, first served.
 */
internal class DirectScheduler(
    context: InstanceContext,
    private val choice: ServerChoice,
    private val watchesLoad: Boolean = false,
) : InstanceScheduler {
    private val view = OwnView(context.random)
    private val serverByRequest = HashMap<String, String>()
    private var members: List<ListedMember> = context.members

    override fun handle(event: SchedulerEvent, nowMillis: Long): List<SchedulerEffect> =
        when (event) {
            is SchedulerEvent.Started -> watch()
            is SchedulerEvent.MembersListed -> list(event)
            is SchedulerEvent.Arrived -> dispatch(event.request)
            is SchedulerEvent.LoadReported -> report(event)
            is SchedulerEvent.Completed -> end(event.requestId)
            is SchedulerEvent.CallerGone -> end(event.requestId)
            is SchedulerEvent.Failed -> fail(event)
            else -> emptyList()
        }

    private fun list(event: SchedulerEvent.MembersListed): List<SchedulerEffect> {
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
        val serverId = choice.choose(candidates.map { it.id }, view)
        serverByRequest[request.id] = serverId
        view.countDispatch(serverId)
        return listOf(SchedulerEffect.Dispatch(request.id, serverId))
    }

    private fun report(event: SchedulerEvent.LoadReported): List<SchedulerEffect> {
        view.reports[event.serverId] = event.report
        return emptyList()
    }

    private fun fail(event: SchedulerEvent.Failed): List<SchedulerEffect> {
        end(event.requestId)
        val hasEnded = event.fault is EngineFault.OutcomeUnknown
        return if (hasEnded) emptyList() else refuse(event.requestId)
    }

    private fun end(requestId: String): List<SchedulerEffect> {
        serverByRequest.remove(requestId)?.let(view::countEnd)
        return emptyList()
    }

    private fun refuse(requestId: String) =
        listOf(SchedulerEffect.Refuse(requestId, ShedReason.SERVER_DOWN))
}
