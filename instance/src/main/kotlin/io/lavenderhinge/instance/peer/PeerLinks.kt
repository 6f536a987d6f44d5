package io.lavenderhinge.instance.peer

import io.lavenderhinge.protocol.v1.Frame

/** Links to other instances. All functions and callbacks run on the control thread. */
interface PeerLinks {
    /** Id of this instance. A frame sent to it is delivered locally. */
    val selfId: String

    /**
     * Sends [frame] to [instanceId], opening a link if there is none. Returns false when the peer
     * is unknown or its send buffer is full; the frame was then not sent. A result of true does not
     * guarantee delivery.
     */
    fun send(instanceId: String, frame: Frame): Boolean

    /** Registers a receiver; every receiver gets every frame. */
    fun onFrame(receiver: FrameReceiver)

    /** Registers a listener for links that broke. */
    fun onLinkLost(listener: (instanceId: String) -> Unit)
}

/** Receives frames from peers. */
fun interface FrameReceiver {
    /** Called with each frame and the instance that sent it. */
    fun receive(fromInstanceId: String, frame: Frame)
}
