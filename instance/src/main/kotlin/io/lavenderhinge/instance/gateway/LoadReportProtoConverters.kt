package io.lavenderhinge.instance.gateway

import io.lavenderhinge.core.forwarding.DomainLoadReport
import io.lavenderhinge.core.forwarding.LoadReport
import io.lavenderhinge.core.forwarding.PromptHolderReport
import io.lavenderhinge.core.forwarding.QueueKey
import io.lavenderhinge.core.forwarding.QueueState
import io.lavenderhinge.core.forwarding.RateLimitReport
import io.lavenderhinge.core.forwarding.ServerUse
import io.lavenderhinge.core.forwarding.StatedLoad
import io.lavenderhinge.core.forwarding.StatedLoadReport
import io.lavenderhinge.core.forwarding.WorkspaceKey
import io.lavenderhinge.core.forwarding.WorkspaceUse
import io.lavenderhinge.instance.quarantine.toMessage
import io.lavenderhinge.instance.quarantine.toReport
import io.lavenderhinge.instance.quarantine.toRun
import io.lavenderhinge.protocol.v1.DomainLoad
import io.lavenderhinge.protocol.v1.LoadReport as LoadReportMessage
import io.lavenderhinge.protocol.v1.PromptHolder
import io.lavenderhinge.protocol.v1.QueueLength
import io.lavenderhinge.protocol.v1.ServerRateLimit
import io.lavenderhinge.protocol.v1.ServerUse as ServerUseMessage
import io.lavenderhinge.protocol.v1.StatedLoad as StatedLoadMessage
import io.lavenderhinge.protocol.v1.WorkspaceSpending
import io.lavenderhinge.protocol.v1.WorkspaceUse as WorkspaceUseMessage
import kotlin.math.roundToInt

/** Adds [report] and the cost per workspace that was charged and [returned] to the message. */
internal fun LoadReportMessage.Builder.addLoad(
    report: LoadReport,
    spending: Map<String, Double>,
    returned: Map<String, Double> = emptyMap(),
): LoadReportMessage.Builder {
    report.servers.forEach { (id, use) ->
        addServers(
            ServerUseMessage.newBuilder()
                .setServerId(id)
                .setInFlight(use.inFlight)
                .setPendingTokens(use.pendingTokens)
        )
    }
    report.waiting.forEach { (key, queue) ->
        addQueues(
            QueueLength.newBuilder()
                .setService(key.service)
                .setPriority(key.priority)
                .setWaiting(queue.count)
                .setHeadWaitMillis(queue.headWaitMillis)
                .setHeadLate(queue.isHeadLate)
        )
    }
    report.quarantine?.let { setCrashObservations(it.toMessage()) }
    report.rateLimits.forEach { addRateLimits(it.toMessage()) }
    report.promptHolders.forEach { addPromptHolders(it.toMessage()) }
    report.coldLimits.forEach { addColdLimits(it.toMessage()) }
    report.statedLoads.forEach { addStatedLoads(it.toMessage()) }
    report.workspaceUses.forEach { (key, use) -> addWorkspaceUses(use.toMessage(key)) }
    setFailureDomain(report.failureDomain)
    report.domainLoads.forEach { addDomainLoads(it.toMessage()) }
    spending.forEach { (workspace, cost) ->
        addWorkspaces(
            WorkspaceSpending.newBuilder()
                .setWorkspace(workspace)
                .setTotalCost(cost)
                .setReturnedCost(returned[workspace] ?: 0.0)
        )
    }
    return this
}

/** Reads the server use and queue lengths from the message. */
internal fun LoadReportMessage.toReport() =
    LoadReport(
        serversList.associate { it.serverId to ServerUse(it.inFlight, it.pendingTokens) },
        queuesList.associate {
            QueueKey(it.service, it.priority) to
                QueueState(it.waiting, it.headWaitMillis, it.headLate)
        },
        if (hasCrashObservations()) crashObservations.toReport() else null,
        rateLimitsList.map { it.toReport() },
        promptHoldersList.map { PromptHolderReport(it.part, it.serverId, it.ageMillis) },
        statedLoadsList.map { it.toReport() },
        workspaceUsesList.associate {
            WorkspaceKey(it.service, it.priority, it.workspace) to
                WorkspaceUse(it.slotMillis, it.waiting)
        },
        coldLimitsList.map { it.toReport() },
        failureDomain,
        domainLoadsList.map { DomainLoadReport(it.service, it.waitMillis, it.spilledShare) },
    )

/** Reads the total cost per workspace that the sender admitted. */
internal fun LoadReportMessage.toSpending(): Map<String, Double> =
    workspacesList.associate { it.workspace to it.totalCost }

private fun PromptHolderReport.toMessage(): PromptHolder =
    PromptHolder.newBuilder().setPart(part).setServerId(serverId).setAgeMillis(ageMillis).build()

private fun WorkspaceUse.toMessage(key: WorkspaceKey) =
    WorkspaceUseMessage.newBuilder()
        .setService(key.service)
        .setPriority(key.priority)
        .setWorkspace(key.workspace)
        .setSlotMillis(slotMillis)
        .setWaiting(waiting)

/** Reads the part of [toSpending] that the sender has given back. */
internal fun LoadReportMessage.toReturned(): Map<String, Double> =
    workspacesList.filter { it.returnedCost > 0 }.associate { it.workspace to it.returnedCost }

private fun DomainLoadReport.toMessage() =
    DomainLoad.newBuilder()
        .setService(service)
        .setWaitMillis(waitMillis)
        .setSpilledShare(shareFraction)
        .build()

private fun RateLimitReport.toMessage(): ServerRateLimit {
    val message =
        ServerRateLimit.newBuilder()
            .setRun(run.toMessage())
            .setAgeMillis(ageMillis)
            .setSentCount(sentCount)
    limitPerSecond?.let(message::setLimitPerSecond)
    return message.build()
}

private fun ServerRateLimit.toReport() =
    RateLimitReport(
        run.toRun(),
        if (hasLimitPerSecond()) limitPerSecond else null,
        ageMillis,
        sentCount,
    )

private fun StatedLoadReport.toMessage(): StatedLoadMessage =
    StatedLoadMessage.newBuilder()
        .setRun(run.toMessage())
        .setRunning(load.running)
        .setWaiting(load.waiting)
        .setSlots(load.slots)
        .setWorkTimePercent(((load.workTimeFactor ?: 0.0) * USUAL_PERCENT).roundToInt())
        .setAgeMillis(ageMillis)
        .build()

private fun StatedLoadMessage.toReport() =
    StatedLoadReport(
        run.toRun(),
        StatedLoad(
            running,
            waiting,
            slots,
            workTimePercent.takeIf { it > 0 }?.let { it / USUAL_PERCENT },
        ),
        ageMillis,
    )

private const val USUAL_PERCENT = 100.0
