package io.lavenderhinge.instance.scheduling

import io.lavenderhinge.core.scheduling.InstanceView
import io.lavenderhinge.core.scheduling.ServerView
import io.lavenderhinge.core.settings.Target
import io.lavenderhinge.instance.control.ControlThread
import io.lavenderhinge.instance.peer.FrameReceiver
import io.lavenderhinge.instance.peer.PeerLinks
import io.lavenderhinge.protocol.v1.Frame
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.random.Random

/** In-process links between slot services, each of which has its own control thread. */
internal class LocalPeerLinks(instanceIds: List<String>, serverIds: List<String>) : AutoCloseable {
    private val nodes = instanceIds.associateWith { Node(it) }
    @Volatile private var live = instanceIds
    private val servers =
        serverIds.map { ServerView(it, "127.0.0.1:1", "d0", Target.Service("booking"), "1") }

    fun service(instanceId: String): HomeSlotService = nodes.getValue(instanceId).service

    fun start() = nodes.values.forEach { it.service.start() }

    /** Kills an instance: its links break and it is removed from the live list. */
    fun kill(instanceId: String) {
        live = live - instanceId
        val killed = nodes.getValue(instanceId)
        killed.control.close()
        for (node in nodes.values - killed) {
            node.control.execute { node.onLost.forEach { it(instanceId) } }
        }
    }

    override fun close() = nodes.values.forEach { it.control.close() }

    private inner class Node(override val selfId: String) : PeerLinks {
        val control = ControlThread(random = Random(1))
        val onLost = CopyOnWriteArrayList<(String) -> Unit>()
        private val receivers = CopyOnWriteArrayList<FrameReceiver>()
        val service =
            HomeSlotService(
                links = this,
                control = control,
                failureDomain = "d0",
                instances = { live.map { InstanceView(it, "d0") } },
                servers = { servers },
            )

        override fun send(instanceId: String, frame: Frame): Boolean {
            if (instanceId !in live) return false
            val target = nodes.getValue(instanceId)
            if (target === this) receivers.forEach { it.receive(selfId, frame) }
            else target.control.execute { target.receivers.forEach { it.receive(selfId, frame) } }
            return true
        }

        override fun onFrame(receiver: FrameReceiver) {
            receivers += receiver
        }

        override fun onLinkLost(listener: (instanceId: String) -> Unit) {
            onLost += listener
        }
    }
}
