package io.lavenderhinge.instance.peer

import io.grpc.stub.StreamObserver
import io.lavenderhinge.instance.control.ControlThread
import io.lavenderhinge.protocol.v1.Frame

/**
 * A stream that a peer dialled. Its first frame is a Hello that names the peer; every later Hello
 * is a probe and is answered.
 */
internal class InboundLink(
    private val responses: StreamObserver<Frame>,
    private val control: ControlThread,
    private val deliver: (from: String, frame: Frame) -> Unit,
) : StreamObserver<Frame> {
    private var peerId: String? = null

    override fun onNext(frame: Frame) {
        if (frame.bodyCase == Frame.BodyCase.HELLO) {
            peerId = frame.hello.instanceId
            responses.onNext(
                Frame.newBuilder()
                    .setProtocolVersion(PROTOCOL_VERSION)
                    .setHello(frame.hello)
                    .build()
            )
        }
        val from = peerId ?: return
        control.execute { deliver(from, frame) }
    }

    override fun onError(cause: Throwable) = Unit

    override fun onCompleted() = responses.onCompleted()
}
