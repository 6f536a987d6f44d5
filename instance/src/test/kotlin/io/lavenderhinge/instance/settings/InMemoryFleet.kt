package io.lavenderhinge.instance.settings

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.lavenderhinge.core.membership.LocalInstance
import io.lavenderhinge.core.port.KeyValueStore
import io.lavenderhinge.core.port.Lease
import io.lavenderhinge.core.port.ListedMember
import io.lavenderhinge.core.port.LiveList
import io.lavenderhinge.core.port.MemberKind
import io.lavenderhinge.core.port.StoreFault
import io.lavenderhinge.core.port.VersionedValue
import io.lavenderhinge.core.port.WatchResult
import io.lavenderhinge.instance.control.ControlThread
import io.lavenderhinge.instance.membership.MembershipService
import io.lavenderhinge.instance.peer.FrameReceiver
import io.lavenderhinge.instance.peer.PeerLinks
import io.lavenderhinge.protocol.v1.Frame
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.toImmutableList
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.withTimeoutOrNull

/** In-memory key-value service; every call fails while [isDown]. */
internal class InMemoryStore : KeyValueStore {
    private val entries = MutableStateFlow(mapOf<String, VersionedValue>())
    var isDown = false

    override suspend fun get(key: String) = unlessDown { entries.value[key] }

    override suspend fun list(prefix: String) = unlessDown { valuesUnder(prefix, 0) }

    override suspend fun compareAndSwap(
        key: String,
        expectedVersion: Long,
        value: String,
        leaseId: String?,
    ): Either<StoreFault, Long> {
        if (isDown) return StoreFault.Unavailable("down").left()
        val current = entries.value[key]
        if ((current?.version ?: 0) != expectedVersion) return StoreFault.Conflict(current).left()
        val version = revision() + 1
        entries.value += key to VersionedValue(key, value, version)
        return version.right()
    }

    override suspend fun watch(
        prefix: String,
        afterRevision: Long,
        waitMillis: Long,
    ): Either<StoreFault, WatchResult> {
        if (isDown) return StoreFault.Unavailable("down").left()
        withTimeoutOrNull(waitMillis) {
            entries.first { valuesUnder(prefix, afterRevision).isNotEmpty() }
        }
        return WatchResult(valuesUnder(prefix, afterRevision), revision()).right()
    }

    override suspend fun grantLease(timeToLiveMillis: Long): Either<StoreFault, Lease> =
        error("not used by settings")

    override suspend fun renewLease(leaseId: String): Either<StoreFault, Lease> =
        error("not used by settings")

    private fun revision() = entries.value.values.maxOfOrNull { it.version } ?: 0

    private fun valuesUnder(prefix: String, after: Long): ImmutableList<VersionedValue> =
        entries.value.values
            .filter { it.key.startsWith(prefix) && it.version > after }
            .toImmutableList()

    private fun <T> unlessDown(value: () -> T): Either<StoreFault, T> =
        if (isDown) StoreFault.Unavailable("down").left() else value().right()
}

/** Links that deliver to the other instances of [fleet] on their control threads. */
internal class InMemoryLinks(
    override val selfId: String,
    private val control: ControlThread,
    private val fleet: MutableMap<String, InMemoryLinks>,
) : PeerLinks {
    private val receivers = mutableListOf<FrameReceiver>()

    override fun send(instanceId: String, frame: Frame): Boolean {
        val peer = fleet[instanceId] ?: return false
        peer.control.execute { peer.receivers.forEach { it.receive(selfId, frame) } }
        return true
    }

    override fun onFrame(receiver: FrameReceiver) {
        receivers += receiver
    }

    override fun onLinkLost(listener: (instanceId: String) -> Unit) = Unit
}

/** Instances in one failure domain over in-memory links, a store and a list. */
internal class InMemoryFleet : AutoCloseable {
    val store = InMemoryStore()
    private val links = java.util.concurrent.ConcurrentHashMap<String, InMemoryLinks>()
    private val controls = mutableListOf<ControlThread>()
    private val list = LiveList {
        links.keys
            .map { ListedMember(it, MemberKind.INSTANCE, "127.0.0.1:1", "a", "west", false) }
            .toImmutableList()
            .right()
    }

    fun start(id: String): SettingsService {
        val control = ControlThread().also { controls += it }
        val link = InMemoryLinks(id, control, links).also { links[id] = it }
        val self = LocalInstance(id, "127.0.0.1:1", "a", control.nowMillis())
        val membership = MembershipService(self, emptyList(), list, link, control)
        val settings = SettingsService("a", store, link, membership, control)
        control.execute {
            membership.start()
            settings.start()
        }
        return settings
    }

    override fun close() = controls.forEach { it.close() }
}
