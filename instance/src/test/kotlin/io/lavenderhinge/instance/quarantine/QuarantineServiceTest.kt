package io.lavenderhinge.instance.quarantine

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.lavenderhinge.instance.control.ControlThread
import io.lavenderhinge.instance.peer.FrameReceiver
import io.lavenderhinge.instance.peer.PeerLinks
import io.lavenderhinge.protocol.v1.Frame
import kotlin.time.Duration.Companion.seconds

/** Two instances whose links deliver frames on the control thread of the receiver. */
private class LinkedPair : AutoCloseable {
    private val nodes = listOf("a", "b").associateWith { Node(it) }

    val services: List<QuarantineService>
        get() = nodes.values.map { it.service }

    init {
        nodes.values.forEach { node -> node.control.execute { node.service.start() } }
    }

    override fun close() = nodes.values.forEach { it.control.close() }

    private inner class Node(override val selfId: String) : PeerLinks {
        val control = ControlThread()
        private val receivers = mutableListOf<FrameReceiver>()
        val service = QuarantineService(this, control) { listOf("a", "b") }

        override fun send(instanceId: String, frame: Frame): Boolean {
            val target = nodes.getValue(instanceId)
            target.control.execute { target.receivers.forEach { it.receive(selfId, frame) } }
            return true
        }

        override fun onFrame(receiver: FrameReceiver) {
            receivers += receiver
        }

        override fun onLinkLost(listener: (instanceId: String) -> Unit) = Unit
    }
}

class QuarantineServiceTest :
    FunSpec({
        // Guards against a crashing prompt that each instance has to find by itself.
        test("given crashes at one instance, then the other one blocks the part, too") {
            LinkedPair().use { pair ->
                val (one, other) = pair.services
                one.recordAnswer("model", listOf("rules", "sound", "own"))
                repeat(3) { one.recordCrash("engine-$it", "model", listOf("rules", "bad", "o$it")) }

                eventually(5.seconds) {
                    other.blockedPart("model", listOf("rules", "bad", "x")) shouldBe "bad"
                }

                other.revision shouldBeGreaterThan 0
                other.blockedPart("model", listOf("rules", "sound", "x")) shouldBe null
            }
        }

        test("given an answer at the other instance, then the part is released everywhere") {
            LinkedPair().use { pair ->
                val (one, other) = pair.services
                one.recordAnswer("model", listOf("rules", "sound", "own"))
                repeat(3) {
                    one.recordCrash("engine-$it", "model", listOf("rules", "rare", "o$it"))
                }
                eventually(5.seconds) {
                    other.blockedPart("model", listOf("rare", "x")) shouldBe "rare"
                }

                other.recordAnswer("model", listOf("rules", "rare", "own"))

                eventually(5.seconds) {
                    one.blockedPart("model", listOf("rare", "x")) shouldBe null
                }
            }
        }
    })
