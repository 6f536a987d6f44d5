package io.lavenderhinge.experiments.cost

import io.lavenderhinge.core.Tier
import io.lavenderhinge.core.routing.RouterEffect
import io.lavenderhinge.core.routing.RouterEvent
import io.lavenderhinge.core.routing.SlotRequest
import io.lavenderhinge.core.routing.SlotRouter
import io.lavenderhinge.core.scheduling.GrantRequest
import io.lavenderhinge.core.scheduling.GrantRequestKey
import io.lavenderhinge.core.scheduling.HomeEffect
import io.lavenderhinge.core.scheduling.HomeEvent
import io.lavenderhinge.core.scheduling.HomeHost
import io.lavenderhinge.core.scheduling.HomeMessage
import io.lavenderhinge.core.scheduling.InstanceView
import io.lavenderhinge.core.scheduling.ResultClass
import io.lavenderhinge.core.scheduling.ServerView
import io.lavenderhinge.core.scheduling.SlotResult
import io.lavenderhinge.core.settings.Target
import io.lavenderhinge.experiments.hinge.ToEntry
import io.lavenderhinge.experiments.hinge.ToHome
import java.lang.management.ManagementFactory
import java.util.PriorityQueue
import kotlin.random.Random
import kotlinx.collections.immutable.toImmutableList

/**
 * One instance of a fleet of [instances], which is a part of the design scale of 320 instances, 600
 * backend servers, 4,800 workspaces and 9,500 requests a second.
 *
 * The instance routes its share of the requests and hosts its share of the homes. The other homes
 * are stood in for by immediate grants, the other entries by asks of the same number and form.
 */
internal class SchedulingCost(private val instances: Int, seed: Long, private val seconds: Int) {
    private val random = Random(seed)
    private val servers = 600 * instances / 320
    private val workspaces = 4_800 * instances / 320
    private val requestsPerSecond = 9_500.0 * instances / 320 / instances
    private val host = HomeHost(SELF)
    private val router = SlotRouter(SELF, "domain-0", random)
    private val ends = PriorityQueue<End>(compareBy { it.atMillis })
    private val templates = List(workspaces) { List(8) { random.nextLong() } }
    private var sentBytes = 0L
    private var nowMillis = 0L
    private var number = 0L
    private var hostNanos = 0L
    private var routerNanos = 0L

    private class End(val atMillis: Long, val run: () -> Unit)

    data class Result(
        val instances: Int,
        val servers: Int,
        val workspaces: Int,
        val hostedHomes: Int,
        val routerCoreFraction: Double,
        val homeCoreFraction: Double,
        val stateBytes: Long,
        val sentBytesPerSecond: Double,
    ) {
        fun row(): List<String> =
            listOf(
                "$instances",
                "$servers",
                "$workspaces",
                "$hostedHomes",
                "%.3f%%".format(routerCoreFraction * 100),
                "%.3f%%".format(homeCoreFraction * 100),
                "%.1f".format(stateBytes / 1e6),
                "%.0f".format(sentBytesPerSecond),
            )
    }

    fun measure(): Result {
        val emptyBytes = usedBytes()
        view()
        run(WARM_UP_SECONDS)
        hostNanos = 0
        routerNanos = 0
        sentBytes = 0
        run(seconds)
        val nanos = seconds * 1e9
        val result =
            Result(
                instances,
                servers,
                workspaces,
                host.hostedServerIds.size,
                routerNanos / nanos,
                hostNanos / nanos,
                usedBytes() - emptyBytes,
                sentBytes.toDouble() / seconds,
            )
        check(templates.isNotEmpty())
        return result
    }

    private fun view() {
        val instanceViews =
            List(instances) { InstanceView("instance-$it", "domain-${it % 5}") }.toImmutableList()
        val serverViews =
            List(servers) {
                    ServerView(
                        "engine-$it",
                        "10.0.0.1:8000",
                        "domain-${it % 5}",
                        Target.Model("model-${it % 4}"),
                        "1",
                    )
                }
                .toImmutableList()
        host.viewChanged(instanceViews, serverViews, nowMillis)
        handle(RouterEvent.ViewChanged(instanceViews, serverViews))
    }

    private fun run(forSeconds: Int) {
        val untilMillis = nowMillis + forSeconds * 1_000L
        var due = 0.0
        while (nowMillis < untilMillis) {
            nowMillis++
            while ((ends.peek()?.atMillis ?: Long.MAX_VALUE) <= nowMillis) ends.poll().run()
            due += requestsPerSecond / 1_000
            while (due >= 1) {
                due--
                handle(RouterEvent.Requested(request()))
                requestFromOtherEntry()
            }
            if (nowMillis % TICK_MILLIS == 0L) {
                timedHost { host.tick(nowMillis) }
                handle(RouterEvent.Tick)
            }
        }
    }

    /** An ask of another entry for a home here: as many as this entry sends elsewhere. */
    private fun requestFromOtherEntry() {
        val serverId = host.hostedServerIds.randomOrNull(random) ?: return
        val event = HomeEvent.Requested(grantRequestOfOtherEntry(request()))
        timedHost { host.handle(serverId, event, nowMillis) }
    }

    private fun grantRequestOfOtherEntry(request: SlotRequest) =
        GrantRequest(
            grantRequestId = "x${number++}",
            entryId = "instance-x",
            tier = request.tier,
            workspace = request.workspace,
            weight = 1.0,
            promptTokens = request.promptTokens,
            outputTokens = request.outputTokens,
            deadlineMillis = request.deadlineMillis,
            prefixHashes = request.prefixHashes,
        )

    private fun request(): SlotRequest {
        val workspace = random.nextInt(workspaces)
        return SlotRequest(
            requestId = "request-${number++}",
            target = Target.Model("model-${random.nextInt(4)}"),
            version = "1",
            tier = Tier.entries.random(random),
            workspace = "workspace-$workspace",
            weight = 1.0,
            deadlineMillis = nowMillis + 60_000,
            promptTokens = 1_000,
            outputTokens = 512,
            prefixHashes = (templates[workspace] + List(8) { random.nextLong() }).toImmutableList(),
        )
    }

    private fun handle(event: RouterEvent) {
        val before = cpuNanos()
        val effects = router.handle(event, nowMillis)
        routerNanos += cpuNanos() - before
        for (effect in effects) execute(effect)
    }

    private fun execute(effect: RouterEffect) {
        when (effect) {
            is RouterEffect.Send -> send(effect)
            is RouterEffect.Granted -> {
                val end = RouterEvent.Finished(effect.requestId, result(effect.cachedPrefixTokens))
                ends += End(nowMillis + SERVICE_MILLIS) { handle(end) }
            }
            is RouterEffect.Refused,
            is RouterEffect.Preempted -> Unit
        }
    }

    private fun send(effect: RouterEffect.Send) {
        if (effect.homeId == SELF) {
            return timedHost { host.handle(effect.serverId, effect.event, nowMillis) }
        }
        sentBytes += ToHome(effect.serverId, effect.event).sizeBytes
        val request = (effect.event as? HomeEvent.Requested)?.request ?: return
        // Homes that expected no hit would drive all requests to the real homes here.
        val grant = HomeEffect.Grant(SELF, request.grantRequestId, TEMPLATE_TOKENS)
        handle(RouterEvent.HomeAnswered(effect.homeId, effect.serverId, grant))
    }

    private fun timedHost(action: () -> List<HomeMessage>) {
        val before = cpuNanos()
        val messages = action()
        hostNanos += cpuNanos() - before
        for (message in messages) deliver(message)
    }

    private fun deliver(message: HomeMessage) {
        val effect = message.effect
        if (effect.entryId == SELF) {
            return handle(RouterEvent.HomeAnswered(SELF, message.serverId, effect))
        }
        sentBytes += ToEntry(message.serverId, effect).sizeBytes
        if (effect !is HomeEffect.Grant) return
        val key = GrantRequestKey(effect.entryId, effect.grantRequestId)
        val result = result(effect.cachedPrefixTokens)
        ends +=
            End(nowMillis + SERVICE_MILLIS) {
                timedHost {
                    host.handle(message.serverId, HomeEvent.Finished(key, result), nowMillis)
                }
            }
    }

    private fun cpuNanos(): Long = ManagementFactory.getThreadMXBean().currentThreadCpuTime

    private fun usedBytes(): Long {
        repeat(3) { System.gc() }
        return ManagementFactory.getMemoryMXBean().heapMemoryUsage.used
    }

    companion object {
        val HEADER =
            listOf(
                "instances",
                "servers",
                "workspaces",
                "homes here",
                "routing, core",
                "homes, core",
                "state MB",
                "sent bytes/s",
            )
        private const val SELF = "instance-0"
        private const val WARM_UP_SECONDS = 120
        private const val TICK_MILLIS = 100L
        private const val TEMPLATE_TOKENS = 512
        // Confirmed after 1 s in reality; shorter than the expiry of a grant that nobody confirms.
        private const val SERVICE_MILLIS = 1_500L

        // The same speed everywhere: a faster server would draw more than its share.
        private fun result(cachedTokens: Int) =
            SlotResult(ResultClass.OK, 50 + (1_000L - cachedTokens) / 10, 30_000, 1_000, 100)
    }
}
