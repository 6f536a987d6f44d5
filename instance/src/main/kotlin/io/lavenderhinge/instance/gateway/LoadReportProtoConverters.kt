package io.lavenderhinge.instance.gateway

import io.lavenderhinge.core.forwarding.DomainLoadReport
import io.lavenderhinge.core.forwarding.LoadReport
import io.lavenderhinge.core.forwarding.QueueKey
import io.lavenderhinge.core.forwarding.QueueState
import io.lavenderhinge.core.forwarding.RateLimitReport
import io.lavenderhinge.core.forwarding.ServerUse
import io.lavenderhinge.instance.quarantine.toMessage
import io.lavenderhinge.instance.quarantine.toReport
import io.lavenderhinge.instance.quarantine.toRun
import io.lavenderhinge.protocol.v1.DomainLoad
import io.lavenderhinge.protocol.v1.LoadReport as LoadReportMessage
import io.lavenderhinge.protocol.v1.QueueLength
import io.lavenderhinge.protocol.v1.ServerRateLimit
import io.lavenderhinge.protocol.v1.ServerUse as ServerUseMessage
import io.lavenderhinge.protocol.v1.WorkspaceSpending

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
        failureDomain,
        domainLoadsList.map { DomainLoadReport(it.service, it.waitMillis, it.spilledShare) },
    )

/** Reads the total cost per workspace that the sender admitted. */
internal fun LoadReportMessage.toSpending(): Map<String, Double> =
    workspacesList.associate { it.workspace to it.totalCost }

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
