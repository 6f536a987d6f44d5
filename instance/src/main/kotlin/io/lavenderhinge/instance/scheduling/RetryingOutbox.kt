package io.lavenderhinge.instance.scheduling

import io.lavenderhinge.instance.peer.PeerLinks
import io.lavenderhinge.protocol.v1.Frame

/**
 * Frames that must arrive and could not be sent, kept for the next try. A broken link makes them
 * void. [isLive] tells whether an instance is still there. Control thread only.
 */
internal class RetryingOutbox(
    private val links: PeerLinks,
    private val isLive: (instanceId: String) -> Boolean,
) {
    private class Unsent(val instanceId: String, val frame: Frame)

    private val unsent = ArrayDeque<Unsent>()

    /** Keeps [frame]; the oldest one goes when there are too many. */
    fun add(instanceId: String, frame: Frame) {
        if (!isLive(instanceId)) return
        if (unsent.size >= MAX_UNSENT) unsent.removeFirst()
        unsent.addLast(Unsent(instanceId, frame))
    }

    /** Tries every frame once more. */
    fun retry() =
        repeat(unsent.size) {
            val next = unsent.removeFirst()
            if (!links.send(next.instanceId, next.frame)) add(next.instanceId, next.frame)
        }

    /** Forgets what waits for [instanceId]. */
    fun removeAll(instanceId: String) {
        unsent.removeIf { it.instanceId == instanceId }
    }

    private companion object {
        const val MAX_UNSENT = 10_000
    }
}
