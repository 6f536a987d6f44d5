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

/** The real state machines of one instance, with a simulated network and platform. */
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
                message.settings?.let { replica(ReplicaEvent.DigestReceived(from, it)) }
                val heartbeats = message.heartbeats.toImmutableList()
                val wanted = message.replyWanted
                membership(MembershipEvent.HeartbeatsReceived(from, heartbeats, wanted))
            }
            is Message.Delta ->
                replica(
                    ReplicaEvent.DeltaReceived(
                        from,
                        message.texts.toImmutableList(),
                        message.wantedTeams.toImmutableList(),
                    )
                )
        }
    }

    fun linkLost(peer: String) {
        if (alive) membership(MembershipEvent.LinkLost(peer))
    }

    private fun tick() {
        if (!alive) return
        membership(MembershipEvent.Tick)
        // A newly listed instance is live from the start and changes no state.
        if (membersChanged || ticks++ % TICKS_PER_VIEW == 0) {
            membersChanged = false
            replica(ReplicaEvent.InstancesChanged(table.liveIn(domain).toImmutableSet()))
        }
        replica(ReplicaEvent.Tick)
        queue.after(TICK_MILLIS + random.nextLong(TICK_MILLIS / 10), ::tick)
    }

    private fun membership(event: MembershipEvent) {
        fleet.measured { table.handle(event, queue.nowMillis) }.forEach(::execute)
    }

    private fun replica(event: ReplicaEvent) {
        fleet.measured { replica.handle(event, queue.nowMillis) }.forEach(::execute)
        if (readyMillis == null && replica.readiness() == Readiness.Ready) {
            readyMillis = queue.nowMillis
        }
    }

    private fun execute(effect: MembershipEffect) {
        when (effect) {
            is MembershipEffect.FetchList ->
                fleet.platform.members(domain) { members ->
                    if (!alive) return@members
                    receivedBytes += fleet.platform.listBytes
                    membership(
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
        val answer = { event: ReplicaEvent -> if (alive) replica(event) }
        when (effect) {
            is ReplicaEffect.ListPlatform -> fleet.platform.list(domain, answer)
            is ReplicaEffect.WatchPlatform ->
                fleet.platform.watch(domain, effect.afterRevision, effect.waitMillis, answer)
            is ReplicaEffect.SendDigest ->
                send(effect.to, Message.Digest(emptyList(), effect.digest, replyWanted = false))
            is ReplicaEffect.SendDelta ->
                send(effect.to, Message.Delta(effect.texts, effect.wantedTeams))
            is ReplicaEffect.Activate -> fleet.onInForce(this, effect.settings)
            is ReplicaEffect.Reject -> error("valid text rejected: ${effect.faults.head.message}")
            is ReplicaEffect.BecameReady -> Unit
        }
    }

    private fun send(to: String, message: Message) {
        sentBytes += message.sizeBytes
        fleet.network.send(this, to, message)
    }

    private companion object {
        const val TICK_MILLIS = 250L
        const val TICKS_PER_VIEW = 4
    }
}
