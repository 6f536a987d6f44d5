package io.lavenderhinge.instance.gateway

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.lavenderhinge.core.port.Snapshot
import io.lavenderhinge.core.port.StoreFault
import io.lavenderhinge.core.port.VersionedValue
import io.lavenderhinge.core.port.WatchResult
import kotlinx.collections.immutable.persistentListOf

/** Guards against listeners that receive keys of other prefixes or miss removals of their own. */
class PrefixRoutingListenerTest :
    FunSpec({
        test("given keys of several prefixes, then each listener receives only its own") {
            val operator = RecordingListener()
            val servers = RecordingListener()
            val listeners = PrefixRoutingListener(mapOf("op/" to operator, "servers/" to servers))

            listeners.onSnapshot(
                Snapshot(persistentListOf(value("op/config"), value("servers/a"), value("x")), 4)
            )
            listeners.onChanges(
                WatchResult(persistentListOf(value("servers/b")), 5, persistentListOf("servers/a"))
            )

            operator.seen.shouldContainExactly("op/config")
            servers.seen.shouldContainExactly("servers/a", "servers/b", "-servers/a")
        }

        test("given a failed call, then every listener is notified") {
            val operator = RecordingListener()
            val servers = RecordingListener()

            PrefixRoutingListener(mapOf("op/" to operator, "servers/" to servers))
                .onStoreUnavailable(StoreFault.Unavailable("refused"))

            operator.seen.shouldContainExactly("lost")
            servers.seen.shouldContainExactly("lost")
        }
    })

private fun value(key: String) = VersionedValue(key, "text", 1)

private class RecordingListener : StoreListener {
    val seen = mutableListOf<String>()

    override fun onSnapshot(snapshot: Snapshot) {
        seen += snapshot.values.map { it.key }
    }

    override fun onChanges(changes: WatchResult) {
        seen += changes.changes.map { it.key }
        seen += changes.removedKeys.map { "-$it" }
    }

    override fun onStoreUnavailable(fault: StoreFault) {
        seen += "lost"
    }
}
