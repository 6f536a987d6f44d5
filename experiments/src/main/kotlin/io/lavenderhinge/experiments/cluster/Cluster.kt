package io.lavenderhinge.experiments.cluster

import io.lavenderhinge.core.port.ListedMember
import io.lavenderhinge.core.port.MemberKind
import io.lavenderhinge.experiments.engine.Backend
import io.lavenderhinge.experiments.engine.BackendJob
import io.lavenderhinge.experiments.engine.FakeEngine
import io.lavenderhinge.experiments.engine.FakeService
import io.lavenderhinge.experiments.engine.HardwareProfile
import io.lavenderhinge.experiments.scheduler.InstanceContext
import io.lavenderhinge.experiments.scheduler.SchedulerEffect
import io.lavenderhinge.experiments.scheduler.SchedulerEvent
import io.lavenderhinge.experiments.scheduler.SchedulerFactory
import io.lavenderhinge.experiments.time.EventLoop
import io.lavenderhinge.experiments.time.MICROS_PER_MILLI
import io.lavenderhinge.experiments.workload.Deployment
import io.lavenderhinge.experiments.workload.seededRandom
import kotlinx.collections.immutable.toImmutableList

/** Simulated fleet of one run: instances running the scheduler, backend servers and links. */
class Cluster(
    private val deployment: Deployment,
    private val factory: SchedulerFactory,
    private val loop: EventLoop,
    private val seed: Long,
    reportSettings: ReportSettings = ReportSettings(),
) {
    val violations = ViolationLog()
    val controlTraffic = ControlTraffic()
    val requests = RequestRegistry(loop, violations)
    internal val network = Network(deployment)
    internal val streams =
        RequestStreams(deployment, loop, network, requests, violations) { id, event ->
            hosts.getValue(id).deliver(event)
        }
    internal val hosts: Map<String, InstanceHost> =
        deployment.instances.associate { it.id to InstanceHost(it.id, loop, ::execute) }
    private val reports =
        ReportDelivery(
            reportSettings,
            loop,
            network,
            hosts.values,
            seededRandom(seed, "reports"),
            controlTraffic,
        )
    private val balancerRandom = seededRandom(seed, "balancer")
    private val readyInstanceIds = deployment.instances.map { it.id }.toMutableSet()
    internal val leavingServerIds = HashSet<String>()

    val backends: Map<String, Backend>
        get() = streams.backends

    init {
        deployment.backends.forEach { streams.backends[it.id] = newBackend(it) }
    }

    /** Starts the reports and all instances. Must be called once, before the first [submit]. */
    fun start() {
        streams.backends.values.forEach(reports::startReports)
        reports.startMemberLists(::listedMembers)
        deployment.instances.forEach { startInstance(it.id) }
    }

    /** Sends [job] to an instance that the load balancer picks at random. */
    fun submit(job: BackendJob) {
        val entryId = readyInstanceIds.random(balancerRandom)
        val host = hosts.getValue(entryId)
        val record = requests.register(job, entryId)
        if (!host.isUp) {
            requests.end(record, Outcome.INSTANCE_LOST)
            return
        }
        record.deadlineTimer =
            loop.at(job.request.deadlineMillis * MICROS_PER_MILLI) {
                streams.endAndCancel(record, Outcome.EXPIRED)
                host.deliver(SchedulerEvent.CallerDisconnected(job.request.id))
            }
        host.deliver(SchedulerEvent.RequestArrived(job.request))
    }

    /** Sets whether the load balancer sends requests to [instanceId]. */
    internal fun setReady(instanceId: String, isReady: Boolean) {
        if (isReady) readyInstanceIds.add(instanceId) else readyInstanceIds.remove(instanceId)
    }

    internal fun startInstance(instanceId: String) {
        val member = network.member(instanceId)
        val context =
            InstanceContext(
                instanceId,
                member.failureDomain,
                member.region,
                startMillis = loop.nowMillis,
                members = listedMembers().toImmutableList(),
                random = seededRandom(seed, "$instanceId at ${loop.nowMicros}"),
            )
        hosts.getValue(instanceId).start(factory.create(context))
    }

    private fun listedMembers(): List<ListedMember> =
        deployment.members.filter(::isListed).map { it.copy(leaving = it.id in leavingServerIds) }

    // Instances count as listed before they start, so that each one starts with the full list.
    private fun isListed(member: ListedMember): Boolean =
        if (member.kind == MemberKind.INSTANCE) member.id in readyInstanceIds
        else backends.getValue(member.id).isUp

    private fun newBackend(member: ListedMember): Backend =
        when (member.kind) {
            MemberKind.MODEL_ENGINE ->
                FakeEngine(
                    member.id,
                    HardwareProfile.of(member.hardwareGeneration),
                    loop,
                    streams,
                    member.version,
                )
            else ->
                FakeService(member.id, deployment.serviceConcurrency, loop, streams, member.version)
        }

    private fun execute(host: InstanceHost, effect: SchedulerEffect) {
        when (effect) {
            is SchedulerEffect.Send -> send(host, effect)
            is SchedulerEffect.SetTimer -> host.setTimer(effect.timerId, effect.atMillis)
            is SchedulerEffect.CancelTimer -> host.cancelTimer(effect.timerId)
            is SchedulerEffect.WatchServers -> host.watch(effect)
            is SchedulerEffect.Dispatch ->
                streams.dispatch(host.id, effect.requestId, effect.serverId)
            is SchedulerEffect.Suspend -> streams.suspend(host.id, effect.requestId)
            is SchedulerEffect.Resume -> streams.resume(host.id, effect.requestId)
            is SchedulerEffect.Cancel -> streams.shed(host.id, effect.requestId, effect.reason)
            is SchedulerEffect.Refuse -> streams.shed(host.id, effect.requestId, effect.reason)
        }
    }

    private fun send(host: InstanceHost, effect: SchedulerEffect.Send) {
        val event = SchedulerEvent.MessageReceived(host.id, effect.message)
        val receiver = hosts.getValue(effect.toInstanceId)
        if (receiver === host) {
            loop.after(0) { host.deliver(event) }
            return
        }
        controlTraffic.recordMessage(effect.message.sizeBytes)
        if (!network.isReachable(host.id, receiver.id)) return
        loop.after(network.delayMicros(host.id, receiver.id)) {
            if (network.isReachable(host.id, receiver.id)) receiver.deliver(event)
        }
    }
}
