package io.lavenderhinge.instance.membership

import io.lavenderhinge.core.membership.Heartbeat
import io.lavenderhinge.protocol.v1.Heartbeat as HeartbeatMessage

/** Converts heartbeats to and from protobuf messages. */
internal object HeartbeatCodec {
    fun encode(heartbeat: Heartbeat): HeartbeatMessage =
        HeartbeatMessage.newBuilder()
            .setInstanceId(heartbeat.instanceId)
            .setIncarnation(heartbeat.incarnation)
            .setCounter(heartbeat.counter)
            .setLeaving(heartbeat.leaving)
            .setAddress(heartbeat.address)
            .setFailureDomain(heartbeat.failureDomain)
            .build()

    fun decode(message: HeartbeatMessage): Heartbeat =
        Heartbeat(
            message.instanceId,
            message.incarnation,
            message.counter,
            message.leaving,
            message.address,
            message.failureDomain,
        )
}
