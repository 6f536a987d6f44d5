package io.lavenderhinge.experiments.cluster

import io.lavenderhinge.core.port.ListedMember
import io.lavenderhinge.experiments.engine.Backend
import io.lavenderhinge.experiments.scheduler.SchedulerEvent
import io.lavenderhinge.experiments.time.EventLoop
import io.lavenderhinge.experiments.time.MICROS_PER_MILLI
import kotlin.random.Random
import kotlinx.collections.immutable.toImmutableList

/** Delay and loss of member lists, load reports and cache events. */
data class ReportSettings(
    val periodMillis: Long = 500,
    val minLagMillis: Long = 100,
    val maxLagMillis: Long = 700,
    val cacheLagMillis: Long = 1_500,
    val cacheLossFraction: Double = 0.05,
    val listPeriodMillis: Long = 1_000,
    val listLagMillis: Long = 5_000,
)

/** Delivers delayed load reports, delayed and lossy cache events, and delayed member lists. */
class ReportDelivery(
    private val settings: ReportSettings,
    private val loop: EventLoop,
    private val network: Network,
    private val hosts: Collection<InstanceHost>,
    private val random: Random,
    private val controlTraffic: ControlTraffic,
) {
    private val lastDeliveryMicros = HashMap<String, Long>()

    /** Reports load and cache of [server] periodically, first after a random part of a period. */
    fun startReports(server: Backend) {
        val periodMicros = settings.periodMillis * MICROS_PER_MILLI
        loop.after(random.nextLong(periodMicros)) {
            report(server)
            loop.every(periodMicros) {
                report(server)
                true
            }
        }
    }

    /** Delivers the member list periodically; [members] is evaluated when a list is sent. */
    fun startMemberLists(members: () -> List<ListedMember>) {
        loop.every(settings.listPeriodMillis * MICROS_PER_MILLI) {
            val listed = SchedulerEvent.MembersListed(members().toImmutableList())
            loop.after(settings.listLagMillis * MICROS_PER_MILLI) {
                hosts.filter { network.reachesPlatform(it.id) }.forEach { it.deliver(listed) }
            }
            true
        }
    }

    private fun report(server: Backend) {
        if (!server.isUp) return
        reportLoad(server)
        reportCache(server)
    }

    private fun reportLoad(server: Backend) {
        val lagMillis = random.nextLong(settings.minLagMillis, settings.maxLagMillis)
        val event =
            SchedulerEvent.LoadReported(server.id, server.load().copy(ageMillis = lagMillis))
        deliverInOrder(server.id, lagMillis, event, LOAD_REPORT_BYTES) {
            server.id in it.watchedServers
        }
    }

    private fun reportCache(server: Backend) {
        val events = server.takeCacheEvents().toImmutableList()
        val isLost = random.nextDouble() < settings.cacheLossFraction
        if (events.isEmpty() || isLost) return
        val sizeBytes = events.size * CACHE_EVENT_BYTES
        val event = SchedulerEvent.CacheChanged(server.id, events)
        deliverInOrder(server.id, settings.cacheLagMillis, event, sizeBytes) {
            server.id in it.watchedCaches
        }
    }

    private fun deliverInOrder(
        serverId: String,
        lagMillis: Long,
        event: SchedulerEvent,
        sizeBytes: Int,
        isWatching: (InstanceHost) -> Boolean,
    ) {
        val key = "$serverId/${event::class.simpleName}"
        val dueMicros = loop.nowMicros + lagMillis * MICROS_PER_MILLI
        val atMicros = maxOf(dueMicros, lastDeliveryMicros[key] ?: 0)
        lastDeliveryMicros[key] = atMicros
        loop.at(atMicros) {
            for (host in hosts) {
                if (!isWatching(host) || !network.isReachable(serverId, host.id)) continue
                controlTraffic.recordMessage(sizeBytes)
                host.deliver(event)
            }
        }
    }

    private companion object {
        const val LOAD_REPORT_BYTES = 64
        const val CACHE_EVENT_BYTES = 16
    }
}

/** Counts messages between instances and reports delivered by backend servers. */
class ControlTraffic {
    var messageCount = 0L
        private set

    var totalBytes = 0L
        private set

    fun recordMessage(messageBytes: Int) {
        messageCount++
        totalBytes += messageBytes
    }
}
