package io.lavenderhinge.experiments.cluster

import io.lavenderhinge.experiments.engine.BackendJob
import io.lavenderhinge.experiments.scheduler.InstanceScheduler
import io.lavenderhinge.experiments.scheduler.PeerMessage
import io.lavenderhinge.experiments.scheduler.SchedulerEffect
import io.lavenderhinge.experiments.scheduler.SchedulerEvent
import io.lavenderhinge.experiments.time.EventLoop
import io.lavenderhinge.experiments.time.MICROS_PER_SECOND
import io.lavenderhinge.experiments.workload.Deployments
import io.lavenderhinge.experiments.workload.RequestGenerator

internal data class ReceivedEvent(
    val atMillis: Long,
    val instanceId: String,
    val event: SchedulerEvent,
)

internal data class TextMessage(val text: String) : PeerMessage {
    override val sizeBytes = text.length
}

/** The Caprock fleet with instances that respond to each event with the effects of [script]. */
internal class ClusterFixture(
    reports: ReportSettings = ReportSettings(),
    script: (instanceId: String, SchedulerEvent) -> List<SchedulerEffect>,
) {
    val loop = EventLoop()
    val receivedEvents = mutableListOf<ReceivedEvent>()
    val cluster =
        Cluster(
            Deployments.caprock,
            { context ->
                InstanceScheduler { event, nowMillis ->
                    receivedEvents += ReceivedEvent(nowMillis, context.instanceId, event)
                    script(context.instanceId, event)
                }
            },
            loop,
            seed = 1,
            reports,
        )
    val faults = FaultInjector(cluster, loop)

    init {
        cluster.start()
    }

    private val generator = RequestGenerator(Deployments.caprock, seed = 1)

    /** Submits a request of route [routeName] at the current time. */
    fun submit(routeName: String): BackendJob {
        val route = Deployments.caprock.routes.first { it.route.name == routeName }
        return generator.next(route, loop.nowMillis).also(cluster::submit)
    }

    fun run(seconds: Int) = loop.runUntil(loop.nowMicros + seconds * MICROS_PER_SECOND)

    inline fun <reified E : SchedulerEvent> received(): List<ReceivedEvent> =
        receivedEvents.filter { it.event is E }
}
