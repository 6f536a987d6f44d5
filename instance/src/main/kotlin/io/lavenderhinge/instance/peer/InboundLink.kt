package io.lavenderhinge.instance.peer

import io.grpc.stub.StreamObserver
import io.lavenderhinge.instance.control.ControlThread
import io.lavenderhinge.protocol.v1.Frame

/**
 * A stream that a peer opened. Its first frame is a Hello that identifies the peer; every later
 * Hello is a probe, which is echoed.
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
