package io.lavenderhinge.experiments.settings

import io.lavenderhinge.core.membership.LocalInstance
import io.lavenderhinge.core.membership.MembershipEffect
import io.lavenderhinge.core.membership.MembershipEvent
import io.lavenderhinge.core.membership.MembershipTable
import io.lavenderhinge.core.settings.Readiness
import io.lavenderhinge.core.settings.ReplicaEffect
import io.lavenderhinge.core.settings.ReplicaEvent
import io.lavenderhinge.core.settings.SettingsReplica
import kotlin.random.Random
import kotlinx.collections.immutable.toImmutableList
import kotlinx.collections.immutable.toImmutableSet

/** The production state machines of one instance on a simulated network and platform. */
internal class SimulatedInstance(
    val id: String,
    val domain: String,
    seeds: List<String>,
    private val fleet: Fleet,
    private val random: Random,
) {
    private val queue = fleet.queue
    val startedMillis = queue.nowMillis
    val table =
        MembershipTable(
            LocalInstance(id, "10.0.0.1:9000", domain, fleet.epochMillis + startedMillis),
            seeds,
            startedMillis,
            random,
        )
    val replica = SettingsReplica(id, domain, startedMillis, random)
    var alive = true
    var sentBytes = 0L
    var receivedBytes = 0L
    var readyMillis: Long? = null
    private var membersChanged = true
    private var ticks = 0

    fun start() = tick()

    fun receive(from: String, message: Message) {
        if (!alive) return
        receivedBytes += message.sizeBytes
        when (message) {
            is Message.Digest -> {
                message.settings?.let { handleReplica(ReplicaEvent.DigestReceived(from, it)) }
                val heartbeats = message.heartbeats.toImmutableList()
                val wanted = message.replyWanted
                handleMembership(MembershipEvent.HeartbeatsReceived(from, heartbeats, wanted))
            }
            is Message.Delta ->
                handleReplica(
                    ReplicaEvent.DeltaReceived(
                        from,
                        message.texts.toImmutableList(),
                        message.wantedTeams.toImmutableList(),
                    )
                )
        }
    }

    fun onLinkLost(peer: String) {
        if (alive) handleMembership(MembershipEvent.LinkLost(peer))
    }

    private fun tick() {
        if (!alive) return
        handleMembership(MembershipEvent.Tick)
        // A newly listed instance is live at once and causes no state change. The replica's view is
        // therefore also updated periodically.
        if (membersChanged || ticks++ % TICKS_PER_VIEW_UPDATE == 0) {
            membersChanged = false
            handleReplica(ReplicaEvent.InstancesChanged(table.liveIn(domain).toImmutableSet()))
        }
        handleReplica(ReplicaEvent.Tick)
        queue.scheduleAfter(TICK_MILLIS + random.nextLong(TICK_MILLIS / 10), ::tick)
    }

    private fun handleMembership(event: MembershipEvent) {
        fleet.timed { table.handle(event, queue.nowMillis) }.forEach(::execute)
    }

    private fun handleReplica(event: ReplicaEvent) {
        fleet.timed { replica.handle(event, queue.nowMillis) }.forEach(::execute)
        if (readyMillis == null && replica.readiness() == Readiness.Ready) {
            readyMillis = queue.nowMillis
        }
    }

    private fun execute(effect: MembershipEffect) {
        when (effect) {
            is MembershipEffect.FetchList ->
                fleet.platform.fetchMembers(domain) { members ->
                    if (!alive) return@fetchMembers
                    receivedBytes += fleet.platform.listBytes
                    handleMembership(
                        if (members == null) MembershipEvent.ListFailed("no answer")
                        else MembershipEvent.ListFetched(members.toImmutableList())
                    )
                }
            is MembershipEffect.SendDigest -> {
                val settings =
                    if (!effect.isGossipExchange) null
                    else replica.summary(queue.nowMillis, reply = !effect.replyWanted)
                send(effect.to, Message.Digest(effect.heartbeats, settings, effect.replyWanted))
            }
            is MembershipEffect.InstanceChanged -> {
                membersChanged = true
                fleet.onInstanceChanged(this, effect)
            }
            is MembershipEffect.ServerChanged -> fleet.onServerChanged(this, effect)
        }
    }

    private fun execute(effect: ReplicaEffect) {
        val respond = { event: ReplicaEvent -> if (alive) handleReplica(event) }
        when (effect) {
            is ReplicaEffect.ListPlatform -> fleet.platform.list(domain, respond)
            is ReplicaEffect.WatchPlatform ->
                fleet.platform.watch(domain, effect.afterRevision, effect.waitMillis, respond)
            is ReplicaEffect.SendDigest ->
                send(effect.to, Message.Digest(emptyList(), effect.digest, replyWanted = false))
            is ReplicaEffect.SendDelta ->
                send(effect.to, Message.Delta(effect.texts, effect.wantedTeams))
            is ReplicaEffect.Activate -> fleet.onActivated(this, effect.settings)
            is ReplicaEffect.Reject ->
                error("valid settings were rejected: ${effect.faults.head.message}")
            is ReplicaEffect.BecameReady -> Unit
        }
    }

    private fun send(to: String, message: Message) {
        sentBytes += message.sizeBytes
        fleet.network.send(this, to, message)
    }

    private companion object {
        const val TICK_MILLIS = 250L
        const val TICKS_PER_VIEW_UPDATE = 4
    }
}
