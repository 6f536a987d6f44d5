package io.lavenderhinge.instance.scheduling

import io.lavenderhinge.instance.peer.PeerLinks
import io.lavenderhinge.protocol.v1.Frame

/**
 * Keeps frames that could not be sent but must be delivered, for the next retry. The frames for an
 * instance are dropped when the link to it breaks. [isLive] returns whether an instance is live.
 * Control thread only.
 */
internal class RetryingOutbox(
    private val links: PeerLinks,
    private val isLive: (instanceId: String) -> Boolean,
) {
    private class Unsent(val instanceId: String, val frame: Frame)

    private val unsent = ArrayDeque<Unsent>()

    /** Adds [frame], dropping the oldest frame if the outbox is full. */
    fun add(instanceId: String, frame: Frame) {
        if (!isLive(instanceId)) return
        if (unsent.size >= MAX_UNSENT) unsent.removeFirst()
        unsent.addLast(Unsent(instanceId, frame))
    }

    /** Retries every frame once. */
    fun retry() =
        repeat(unsent.size) {
            val next = unsent.removeFirst()
            if (!links.send(next.instanceId, next.frame)) add(next.instanceId, next.frame)
        }

    /** Drops the frames for [instanceId]. */
    fun removeAll(instanceId: String) {
        unsent.removeIf { it.instanceId == instanceId }
    }

    private companion object {
        const val MAX_UNSENT = 10_000
    }
}
