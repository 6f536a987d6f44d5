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
import io.lavenderhinge.experiments.core.EntryToHome
import io.lavenderhinge.experiments.core.HomeToEntry
import java.lang.management.ManagementFactory
import java.util.PriorityQueue
import kotlin.random.Random
import kotlinx.collections.immutable.toImmutableList

/**
 * Measures the scheduling cost of one instance in a fleet of [instances]. The fleet is scaled from
 * the design's 320 instances, 600 backend servers, 4,800 workspaces and 9,500 requests per second.
 *
 * The instance routes its share of the requests and hosts its share of the homes. Other homes are
 * simulated by immediate grants, other entries by the same number of equivalent grant requests.
 */
internal class SchedulingCostBenchmark(
    private val instances: Int,
    seed: Long,
    private val seconds: Int,
) {
    private val random = Random(seed)
    private val servers = 600 * instances / 320
    private val workspaces = 4_800 * instances / 320
    private val requestsPerSecond = 9_500.0 * instances / 320 / instances
    private val host = HomeHost(SELF_ID)
    private val router = SlotRouter(SELF_ID, "domain-0", random)
    private val completions = PriorityQueue<ScheduledCompletion>(compareBy { it.atMillis })
    private val promptPrefixes = List(workspaces) { List(8) { random.nextLong() } }
    private var sentBytes = 0L
    private var nowMillis = 0L
    private var nextRequestNumber = 0L
    private var hostNanos = 0L
    private var routerNanos = 0L

    private class ScheduledCompletion(val atMillis: Long, val run: () -> Unit)

    data class Result(
        val instances: Int,
        val servers: Int,
        val workspaces: Int,
        val hostedHomes: Int,
        val routerCoreFraction: Double,
        val homeCoreFraction: Double,
        val stateHeapBytes: Long,
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
                "%.1f".format(stateHeapBytes / 1e6),
                "%.0f".format(sentBytesPerSecond),
            )
    }

    fun measure(): Result {
        val emptyBytes = usedHeapBytes()
        publishView()
        simulate(WARM_UP_SECONDS)
        hostNanos = 0
        routerNanos = 0
        sentBytes = 0
        simulate(seconds)
        val nanos = seconds * 1e9
        val result =
            Result(
                instances,
                servers,
                workspaces,
                host.hostedServerIds.size,
                routerNanos / nanos,
                hostNanos / nanos,
                usedHeapBytes() - emptyBytes,
                sentBytes.toDouble() / seconds,
            )
        // Keeps the prefixes reachable until here, so that both heap readings include them.
        check(promptPrefixes.isNotEmpty())
        return result
    }

    private fun publishView() {
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

    private fun simulate(durationSeconds: Int) {
        val endMillis = nowMillis + durationSeconds * 1_000L
        var pendingRequests = 0.0
        while (nowMillis < endMillis) {
            nowMillis++
            while ((completions.peek()?.atMillis ?: Long.MAX_VALUE) <= nowMillis) completions
                .poll()
                .run()
            pendingRequests += requestsPerSecond / 1_000
            while (pendingRequests >= 1) {
                pendingRequests--
                handle(RouterEvent.Requested(newRequest()))
                simulateRequestFromOtherEntry()
            }
            if (nowMillis % TICK_MILLIS == 0L) {
                timedHost { host.tick(nowMillis) }
                handle(RouterEvent.Tick)
            }
        }
    }

    /** Requests a slot from a home on this instance as often as this entry requests slots. */
    private fun simulateRequestFromOtherEntry() {
        val serverId = host.hostedServerIds.randomOrNull(random) ?: return
        val event = HomeEvent.Requested(grantRequestOfOtherEntry(newRequest()))
        timedHost { host.handle(serverId, event, nowMillis) }
    }

    private fun grantRequestOfOtherEntry(request: SlotRequest) =
        GrantRequest(
            grantRequestId = "x${nextRequestNumber++}",
            entryId = "instance-x",
            tier = request.tier,
            workspace = request.workspace,
            weight = 1.0,
            promptTokens = request.promptTokens,
            outputTokens = request.outputTokens,
            deadlineMillis = request.deadlineMillis,
            prefixHashes = request.prefixHashes,
        )

    private fun newRequest(): SlotRequest {
        val workspace = random.nextInt(workspaces)
        return SlotRequest(
            requestId = "request-${nextRequestNumber++}",
            target = Target.Model("model-${random.nextInt(4)}"),
            version = "1",
            tier = Tier.entries.random(random),
            workspace = "workspace-$workspace",
            weight = 1.0,
            deadlineMillis = nowMillis + 60_000,
            promptTokens = 1_000,
            outputTokens = 512,
            prefixHashes =
                (promptPrefixes[workspace] + List(8) { random.nextLong() }).toImmutableList(),
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
                val finished =
                    RouterEvent.Finished(effect.requestId, slotResult(effect.cachedPrefixTokens))
                completions += ScheduledCompletion(nowMillis + SERVICE_MILLIS) { handle(finished) }
            }
            is RouterEffect.Refused,
            is RouterEffect.Preempted -> Unit
        }
    }

    private fun send(effect: RouterEffect.Send) {
        if (effect.homeId == SELF_ID) {
            return timedHost { host.handle(effect.serverId, effect.event, nowMillis) }
        }
        sentBytes += EntryToHome(effect.serverId, effect.event).sizeBytes
        val request = (effect.event as? HomeEvent.Requested)?.request ?: return
        // Without an expected cache hit, the router would prefer the homes on this instance.
        val grant = HomeEffect.Grant(SELF_ID, request.grantRequestId, CACHED_PREFIX_TOKENS)
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
        if (effect.entryId == SELF_ID) {
            return handle(RouterEvent.HomeAnswered(SELF_ID, message.serverId, effect))
        }
        sentBytes += HomeToEntry(message.serverId, effect).sizeBytes
        if (effect !is HomeEffect.Grant) return
        val key = GrantRequestKey(effect.entryId, effect.grantRequestId)
        val result = slotResult(effect.cachedPrefixTokens)
        completions +=
            ScheduledCompletion(nowMillis + SERVICE_MILLIS) {
                timedHost {
                    host.handle(message.serverId, HomeEvent.Finished(key, result), nowMillis)
                }
            }
    }

    private fun cpuNanos(): Long = ManagementFactory.getThreadMXBean().currentThreadCpuTime

    private fun usedHeapBytes(): Long {
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
        private const val SELF_ID = "instance-0"
        private const val WARM_UP_SECONDS = 120
        private const val TICK_MILLIS = 100L
        private const val CACHED_PREFIX_TOKENS = 512
        // Entries confirm a grant after 1 s in production. The service time is shorter than the
        // expiry of an unconfirmed grant, so no confirmation is simulated.
        private const val SERVICE_MILLIS = 1_500L

        // All servers have the same speed, since a faster one would attract more than its share.
        private fun slotResult(cachedTokens: Int) =
            SlotResult(ResultClass.OK, 50 + (1_000L - cachedTokens) / 10, 30_000, 1_000, 100)
    }
}
