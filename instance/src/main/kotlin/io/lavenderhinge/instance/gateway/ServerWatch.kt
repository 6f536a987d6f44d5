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

/** Keeps the list of backend servers and publishes each change. Confined to the control thread. */
internal class ServerWatch(
    private val control: ControlThread,
    private val publish: (List<ServerEntry>) -> Unit,
) : StoreListener {
    private val directory = ServerDirectory()
    private val texts = LinkedHashMap<String, String>()
    private var published: List<ServerEntry> = emptyList()
    private var answeredMillis: Long? = null

    /** Revision of the store that the list was read at; 0 when there is none. */
    @Volatile
    var revision = 0L
        private set

    /** Entries as they were read, by key, for peers that lack them. */
    val stored: Map<String, String>
        get() = texts

    /** True when the store has not answered lately. */
    val isStale: Boolean
        get() = answeredMillis?.let { monotonicMillis() - it > STALE_MILLIS } ?: true

    /** Starts to drop entries that lapsed and did not come back. */
    fun start() =
        control.every(EXPIRE_MILLIS) { if (directory.expire(monotonicMillis())) publishChanges() }

    override fun onSnapshot(snapshot: Snapshot) {
        answered()
        replace(snapshot.values, snapshot.revision)
    }

    override fun onChanges(changes: WatchResult) {
        answered()
        revision = maxOf(revision, changes.revision)
        changes.changes.forEach(::accept)
        changes.removedKeys.forEach(::remove)
        publishChanges()
    }

    override fun onLost(fault: StoreFault) = directory.onStoreUnavailable()

    /** Takes over a list that a peer read at [revision], if the store is away and it is newer. */
    fun onPeerCopy(values: List<VersionedValue>, revision: Long) {
        if (!isStale || revision <= this.revision) return
        log.info("servers: list of revision {} was taken over from a peer", revision)
        replace(values, revision)
    }

    private fun replace(values: List<VersionedValue>, revision: Long) {
        this.revision = revision
        texts.clear()
        values.forEach { texts[it.key] = it.value }
        directory.onSnapshot(values.mapNotNull(::decode), monotonicMillis())
        publishChanges()
    }

    private fun accept(value: VersionedValue) {
        texts[value.key] = value.value
        val entry = decode(value)
        if (entry == null) directory.onRemoved(id(value.key), monotonicMillis())
        else directory.onWritten(entry)
    }

    private fun remove(key: String) {
        texts.remove(key)
        directory.onRemoved(id(key), monotonicMillis())
    }

    private fun decode(value: VersionedValue): ServerEntry? =
        ServerEntryDecoder.decode(value.key, value.value)
            .onLeft { log.warn("servers: entry {} was ignored: {}", value.key, it) }
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

    private fun answered() {
        answeredMillis = monotonicMillis()
        directory.onStoreAvailable(monotonicMillis())
    }

    private fun id(key: String) = key.removePrefix(PlatformKeys.SERVER_PREFIX)

    private companion object {
        const val EXPIRE_MILLIS = 200L
        /** Longer than a watch waits. */
        const val STALE_MILLIS = 3_000L
        val log = LoggerFactory.getLogger(ServerWatch::class.java)
    }
}
