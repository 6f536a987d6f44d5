package io.lavenderhinge.instance.gateway

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.lavenderhinge.core.forwarding.RolloutOrder
import io.lavenderhinge.core.port.Snapshot
import io.lavenderhinge.core.port.VersionedValue
import io.lavenderhinge.platform.StoreRevision
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toImmutableList

/** Guards against rollouts that start again because the store came back from a copy. */
class OperatorStateListenerTest :
    FunSpec({
        fun order(revision: Long, target: String = "v2") =
            VersionedValue(
                "op/rollout/s",
                """{"service":"s","target":"$target","duration_s":10}""",
                revision,
            )

        fun snapshot(revision: Long, vararg values: VersionedValue) =
            Snapshot(values.toList().toImmutableList(), revision)

        fun listen(vararg snapshots: Snapshot): List<String> {
            val calls = RecordingOrders()
            val configuration =
                ConfigurationHolder(ReadinessGate(), confirmationValidMillis = 3_000)
            val listener = OperatorStateListener(configuration, calls)
            snapshots.forEach(listener::onSnapshot)
            return calls.calls
        }

        val before = StoreRevision.of(3, 30)
        val copy = StoreRevision.of(4, 21)
        val later = StoreRevision.of(4, 40)

        test("given a restored store that lists an order, then its rollout goes on") {
            val calls =
                listen(
                    snapshot(before, order(StoreRevision.of(3, 20))),
                    snapshot(copy, order(StoreRevision.of(4, 20))),
                )

            calls shouldBe listOf("start v2", "continue v2")
        }

        test("given an order that the copy lacks, when it is written again, then it goes on") {
            val calls =
                listen(
                    snapshot(before, order(StoreRevision.of(3, 29))),
                    snapshot(copy),
                    snapshot(later, order(StoreRevision.of(4, 35))),
                )

            calls shouldBe listOf("start v2", "continue v2")
        }

        test("given a restored store with another order, then that order starts") {
            val calls =
                listen(
                    snapshot(before, order(StoreRevision.of(3, 20))),
                    snapshot(later, order(StoreRevision.of(4, 35), target = "v3")),
                )

            calls shouldBe listOf("start v2", "start v3")
        }

        test("given a store that was not restored, then an order that is missing ends") {
            val calls =
                listen(
                    snapshot(copy, order(StoreRevision.of(4, 20))),
                    Snapshot(persistentListOf(), later),
                )

            calls shouldBe listOf("start v2", "end s")
        }
    })

private class RecordingOrders : RolloutOrderListener {
    val calls = mutableListOf<String>()

    override fun onOrder(order: RolloutOrder) {
        calls += "start ${order.targetVersion}"
    }

    override fun onOrderRestored(order: RolloutOrder) {
        calls += "continue ${order.targetVersion}"
    }

    override fun onOrderRemoved(service: String) {
        calls += "end $service"
    }
}
