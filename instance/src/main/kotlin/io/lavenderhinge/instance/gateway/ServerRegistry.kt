package io.lavenderhinge.instance.gateway

import io.lavenderhinge.core.forwarding.KeptServer
import io.lavenderhinge.core.forwarding.ServerDirectory
import io.lavenderhinge.core.forwarding.ServerEntry
import io.lavenderhinge.core.forwarding.StoreContact
import io.lavenderhinge.core.forwarding.WarmUpProgress
import io.lavenderhinge.core.port.Snapshot
import io.lavenderhinge.core.port.StoreFault
import io.lavenderhinge.core.port.VersionedValue
import io.lavenderhinge.core.port.WatchResult
import io.lavenderhinge.instance.control.ControlThread
import io.lavenderhinge.platform.PlatformKeys
import io.lavenderhinge.platform.ServerEntryDecoder
import io.lavenderhinge.platform.StoreRevision
import org.slf4j.LoggerFactory

/** Maintains the list of backend servers and publishes changes. Confined to the control thread. */
internal class ServerRegistry(
    private val control: ControlThread,
    private val contact: StoreContact,
    private val nowMillis: () -> Long = ::monotonicMillis,
    private val publish: (List<ServerEntry>) -> Unit,
) : StoreListener {
    private val directory = ServerDirectory()
    private val storedValues = HashMap<String, String>()
    private val warmUp = WarmUpProgress()
    @Volatile private var published: List<ServerEntry> = emptyList()

    /** Store revision up to which this instance knows all changes of servers. */
    @Volatile
    var readRevision = 0L
        private set

    /** Revision of the last answer of the store itself; a copy of a peer may be newer. */
    private var storeRevision = 0L

    /** Time of the last answer of the store to this instance; null before the first one. */
    @Volatile private var storeAnswerMillis: Long? = null

    /** Time of the last answer of the store to a peer that is taken into account. */
    @Volatile private var peerAnswerMillis = Long.MIN_VALUE / 2

    /** Store revision of the last change of a server; 0 if the list has not been read. */
    @Volatile
    var revision = 0L
        private set

    /** True if the list is taken from peers that watch it, and not from the store. */
    @Volatile var isFollowingPeers = false

    /** Ids of the known servers; can be read from any thread. */
    val ids: List<String>
        get() = published.map { it.id }

    /**
     * Raw entries of the known servers by key, for peers that do not watch the store. Entries that
     * are kept after an outage are included.
     */
    val entries: Map<String, String>
        get() {
            val keys = directory.servers.mapTo(HashSet()) { PlatformKeys.SERVER_PREFIX + it.id }
            return storedValues.filterKeys { it in keys }
        }

    /** Returns how much longer the servers that the store does not list are used, by key. */
    fun keptMillis(): Map<String, Long> =
        directory.keptMillis(nowMillis()).mapKeys { PlatformKeys.SERVER_PREFIX + it.key }

    /**
     * Time since the store last answered this instance; null before the first answer. Can be read
     * from any thread.
     */
    val storeAnswerAgeMillis: Long?
        get() = storeAnswerMillis?.let { nowMillis() - it }

    /** True if changes in the store may not reach this instance; can be read from any thread. */
    val isStoreLost: Boolean
        get() = contact.isLost(nowMillis())

    /** Starts removing entries that expired and were not written again. */
    fun start() =
        control.every(EXPIRE_INTERVAL_MILLIS) {
            if (directory.expire(nowMillis()) && publishChanges()) revision = readRevision
        }

    override fun onSnapshot(snapshot: Snapshot) {
        onStoreAnswered()
        if (isOutdated(snapshot.revision)) return
        val isRestored = StoreRevision.isRestoredBetween(storeRevision, snapshot.revision)
        storeRevision = snapshot.revision
        val entries = takeOver(snapshot.values, snapshot.revision)
        if (isRestored) directory.onRestoredSnapshot(entries, nowMillis())
        else directory.onSnapshot(entries, nowMillis())
        publishChanges()
    }

    override fun onChanges(changes: WatchResult) {
        onStoreAnswered()
        if (isOutdated(changes.revision)) return
        readRevision = changes.revision
        changes.changes.forEach(::accept)
        changes.removedKeys.forEach(::remove)
        if (publishChanges()) revision = changes.revision
    }

    /** Records that the store answered a call that does not concern the list. */
    fun onStoreReachable() {
        storeAnswerMillis = nowMillis()
        if (!directory.onStoreAvailable(nowMillis())) return
        log.info("servers: the store was unavailable, entries may have lapsed")
    }

    /**
     * Returns true if [onPeerAnswer] has to be called, as the store has answered a peer at
     * [answeredMillis]. Can be called from any thread.
     */
    fun isNewPeerAnswer(answeredMillis: Long): Boolean =
        answeredMillis - peerAnswerMillis >= PEER_ANSWER_STEP_MILLIS

    /** Records that the store answered a peer at [answeredMillis]. */
    fun onPeerAnswer(answeredMillis: Long) {
        peerAnswerMillis = maxOf(peerAnswerMillis, answeredMillis)
        directory.onPeerAnswer(answeredMillis)
    }

    override fun onStoreUnavailable(fault: StoreFault) {
        contact.onFailedCall(nowMillis())
        directory.onStoreUnavailable()
    }

    /** Records that peers have known a newer list for longer than a working watch takes. */
    fun onOvertaken() {
        if (isStoreLost) return
        log.warn("servers: peers know changes after revision {}, the store is lost", readRevision)
        contact.onOvertaken(nowMillis())
    }

    /**
     * Applies a peer's list of [revision] if it is newer and the store does not deliver it. The
     * peer uses the servers under the keys of [keptMillis] for that time without an entry in the
     * store.
     */
    fun onPeerCopy(
        values: List<VersionedValue>,
        revision: Long,
        keptMillis: Map<String, Long> = emptyMap(),
    ) {
        if (!(isFollowingPeers || isStoreLost) || revision <= readRevision) return
        log.info("servers: list of revision {} was taken over from a peer", revision)
        if (StoreRevision.isRestoredBetween(readRevision, revision)) {
            directory.onRestored(nowMillis())
        }
        val (kept, listed) =
            takeOver(values, revision).partition {
                PlatformKeys.SERVER_PREFIX + it.id in keptMillis
            }
        directory.onPeerCopy(
            listed,
            nowMillis(),
            kept.map { KeptServer(it, keptMillis.getValue(PlatformKeys.SERVER_PREFIX + it.id)) },
        )
        publishChanges()
    }

    // A peer's list may be newer than an answer of the store that was delayed. Applying the answer
    // would bring back servers that have left.
    private fun isOutdated(revision: Long): Boolean {
        if (revision >= readRevision) return false
        log.info(
            "servers: ignoring an answer of revision {}, the list is of revision {}",
            revision,
            readRevision,
        )
        return true
    }

    // Raw values of servers that are no longer listed are needed as long as the directory keeps
    // them.
    private fun takeOver(values: List<VersionedValue>, revision: Long): List<ServerEntry> {
        readRevision = revision
        this.revision = revision
        storedValues.keys.retainAll(entries.keys)
        return values.mapNotNull(::decode)
    }

    private fun accept(value: VersionedValue) {
        val entry = decode(value)
        if (entry == null) directory.onRemoved(serverId(value.key), nowMillis())
        else directory.onWritten(entry, nowMillis())
    }

    private fun remove(key: String) = directory.onRemoved(serverId(key), nowMillis())

    private fun decode(value: VersionedValue): ServerEntry? =
        ServerEntryDecoder.decode(value.key, value.value)
            .onLeft { log.warn("servers: ignoring invalid entry {}: {}", value.key, it) }
            .onRight { storedValues[value.key] = value.value }
            .getOrNull()

    // Returns whether the list has changed. Servers write their entries periodically to show that
    // they are alive, which is no change, and neither is the progress of their warm-up. A server
    // that is cold again has to be known at once.
    private fun publishChanges(): Boolean {
        val servers = directory.servers
        val isColdAgain = warmUp.isColdAgain(servers)
        if (!isColdAgain && servers.map(::withoutProgress) == published.map(::withoutProgress)) {
            return false
        }
        val before = published.associateBy { it.id }
        val added = servers.filter { it.id !in before }.map { it.id }
        val left = (before.keys - servers.map { it.id }.toSet())
        val draining = servers.filter { !it.acceptsWork && before[it.id]?.acceptsWork != false }
        published = servers
        log.info(
            "servers: {} known at revision {}, added {}, left {}, draining {}, kept {}",
            servers.size,
            revision,
            added,
            left,
            draining.map { it.id },
            directory.keptMillis(nowMillis()).keys,
        )
        publish(servers)
        return true
    }

    private fun withoutProgress(entry: ServerEntry) = entry.copy(warmUpRemainingMillis = 0)

    private fun onStoreAnswered() {
        contact.onAnswer(nowMillis())
        onStoreReachable()
    }

    private fun serverId(key: String) = key.removePrefix(PlatformKeys.SERVER_PREFIX)

    private companion object {
        const val EXPIRE_INTERVAL_MILLIS = 200L
        /**
         * Skips most reports of a large fleet; small compared to the time after which entries
         * lapse.
         */
        const val PEER_ANSWER_STEP_MILLIS = 200L
        val log = LoggerFactory.getLogger(ServerRegistry::class.java)
    }
}
