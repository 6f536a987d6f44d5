package io.lavenderhinge.instance.gateway

import io.lavenderhinge.core.forwarding.ServerDirectory
import io.lavenderhinge.core.forwarding.ServerEntry
import io.lavenderhinge.core.port.Snapshot
import io.lavenderhinge.core.port.StoreFault
import io.lavenderhinge.core.port.VersionedValue
import io.lavenderhinge.core.port.WatchResult
import io.lavenderhinge.instance.control.ControlThread
import io.lavenderhinge.platform.PlatformKeys
import io.lavenderhinge.platform.ServerEntryDecoder
import org.slf4j.LoggerFactory

/** Maintains the list of backend servers and publishes changes. Confined to the control thread. */
internal class ServerRegistry(
    private val control: ControlThread,
    /** Time without an answer of the store after which the list may be out of date. */
    private val staleAfterMillis: Long,
    private val publish: (List<ServerEntry>) -> Unit,
) : StoreListener {
    private val directory = ServerDirectory()
    private val storedValues = LinkedHashMap<String, String>()
    private var published: List<ServerEntry> = emptyList()
    private var lastAnswerMillis: Long? = null

    /** Store revision of the list; 0 if it has not been read. */
    @Volatile
    var revision = 0L
        private set

    /** Raw entries by key, for peers that do not have them. */
    val entries: Map<String, String>
        get() = storedValues

    /** True if the store has not answered within [staleAfterMillis]. */
    val isStale: Boolean
        get() = lastAnswerMillis?.let { monotonicMillis() - it > staleAfterMillis } ?: true

    /** Starts removing entries that expired and were not written again. */
    fun start() =
        control.every(EXPIRE_INTERVAL_MILLIS) {
            if (directory.expire(monotonicMillis())) publishChanges()
        }

    override fun onSnapshot(snapshot: Snapshot) {
        onStoreAnswered()
        if (!isOutdated(snapshot.revision)) replace(snapshot.values, snapshot.revision)
    }

    override fun onChanges(changes: WatchResult) {
        onStoreAnswered()
        if (isOutdated(changes.revision)) return
        revision = changes.revision
        changes.changes.forEach(::accept)
        changes.removedKeys.forEach(::remove)
        publishChanges()
    }

    override fun onStoreUnavailable(fault: StoreFault) = directory.onStoreUnavailable()

    /** Applies a peer's list of [revision] if it is newer and the store is unavailable. */
    fun onPeerCopy(values: List<VersionedValue>, revision: Long) {
        if (!isStale || revision <= this.revision) return
        log.info("servers: list of revision {} was taken over from a peer", revision)
        replace(values, revision)
    }

    // A peer's list may be newer than an answer of the store that was delayed. Applying the answer
    // would bring back servers that have left.
    private fun isOutdated(answerRevision: Long): Boolean {
        if (answerRevision >= revision) return false
        log.info(
            "servers: ignoring an answer of revision {}, the list is of revision {}",
            answerRevision,
            revision,
        )
        return true
    }

    private fun replace(values: List<VersionedValue>, revision: Long) {
        this.revision = revision
        storedValues.clear()
        values.forEach { storedValues[it.key] = it.value }
        directory.onSnapshot(values.mapNotNull(::decode), monotonicMillis())
        publishChanges()
    }

    private fun accept(value: VersionedValue) {
        storedValues[value.key] = value.value
        val entry = decode(value)
        if (entry == null) directory.onRemoved(serverId(value.key), monotonicMillis())
        else directory.onWritten(entry)
    }

    private fun remove(key: String) {
        storedValues.remove(key)
        directory.onRemoved(serverId(key), monotonicMillis())
    }

    private fun decode(value: VersionedValue): ServerEntry? =
        ServerEntryDecoder.decode(value.key, value.value)
            .onLeft { log.warn("servers: ignoring invalid entry {}: {}", value.key, it) }
            .getOrNull()

    private fun publishChanges() {
        val servers = directory.servers
        if (servers == published) return
        val before = published.associateBy { it.id }
        val added = servers.filter { it.id !in before }.map { it.id }
        val left = (before.keys - servers.map { it.id }.toSet())
        val draining = servers.filter { !it.acceptsWork && before[it.id]?.acceptsWork != false }
        published = servers
        log.info(
            "servers: {} known at revision {}, added {}, left {}, draining {}",
            servers.size,
            revision,
            added,
            left,
            draining.map { it.id },
        )
        publish(servers)
    }

    private fun onStoreAnswered() {
        lastAnswerMillis = monotonicMillis()
        directory.onStoreAvailable(monotonicMillis())
    }

    private fun serverId(key: String) = key.removePrefix(PlatformKeys.SERVER_PREFIX)

    private companion object {
        const val EXPIRE_INTERVAL_MILLIS = 200L
        val log = LoggerFactory.getLogger(ServerRegistry::class.java)
    }
}
