package io.lavenderhinge.instance.gateway

import io.lavenderhinge.core.forwarding.EvacuationRead
import io.lavenderhinge.core.forwarding.EvacuationState
import io.lavenderhinge.core.forwarding.ServerEntry
import io.lavenderhinge.core.port.Snapshot
import io.lavenderhinge.core.port.StoreFault
import io.lavenderhinge.core.port.VersionedValue
import io.lavenderhinge.core.port.WatchResult
import io.lavenderhinge.platform.PlatformKeys
import io.lavenderhinge.platform.StoreRevision
import org.slf4j.LoggerFactory

/**
 * Holds the operator's requests to evacuate failure domains, from the store or from peers. Written
 * by the control thread, read by any thread.
 */
internal class EvacuationRegistry(private val nowMillis: () -> Long = ::monotonicMillis) :
    StoreListener {
    private var serverDomains: Set<String>? = null
    private val unusedDomains = HashSet<String>()

    /** The newest state. */
    @Volatile
    var state = EvacuationState()
        private set

    /** True if the last call of the store has failed. */
    @Volatile
    var isStoreLost = false
        private set

    /** Called on the control thread after the first read and after each change of the domains. */
    @Volatile var onChange: () -> Unit = {}

    /** Returns true if requests may be sent to [server] now. */
    fun allows(server: ServerEntry): Boolean = !state.isEvacuated(server.failureDomain, nowMillis())

    override fun onSnapshot(snapshot: Snapshot) {
        isStoreLost = false
        val isRestored = StoreRevision.isRestoredBetween(state.readRevision, snapshot.revision)
        val newestWrite = snapshot.values.maxOfOrNull { it.version } ?: 0
        apply(
            EvacuationRead(
                domainsOf(snapshot.values),
                snapshot.revision,
                changeRevision(newestWrite, snapshot.revision),
                isRestored,
            ),
            "the store",
        )
    }

    override fun onChanges(changes: WatchResult) {
        isStoreLost = false
        val endedDomains = changes.removedKeys.mapNotNullTo(HashSet(), ::domainOrNull)
        val newestWrite = changes.changes.maxOfOrNull { it.version } ?: 0
        apply(
            EvacuationRead(
                state.domains + domainsOf(changes.changes) - endedDomains,
                changes.revision,
                changeRevision(newestWrite, changes.revision),
                endedDomains = endedDomains,
            ),
            "the store",
        )
    }

    override fun onStoreUnavailable(fault: StoreFault) {
        isStoreLost = true
    }

    /** Applies the [domains] that [peer] knows to be evacuated at [revision], if that is newer. */
    fun onPeerCopy(peer: String, domains: Set<String>, revision: Long) {
        if (revision <= state.readRevision) return
        val isRestored = StoreRevision.isRestoredBetween(state.readRevision, revision)
        apply(EvacuationRead(domains, revision, revision, isRestored), "instance $peer")
    }

    /** Records the known servers, to report names of domains in which there is none. */
    fun onServers(servers: Collection<ServerEntry>) {
        serverDomains = servers.mapTo(HashSet()) { it.failureDomain }
        reportUnused()
    }

    // The store does not tell at which revision a key was removed. The removal is newer than what
    // was read before, and a lower bound keeps peers that have read past it from asking for a copy.
    private fun changeRevision(newestWrite: Long, revision: Long): Long {
        val eraStart = StoreRevision.of(StoreRevision.era(revision), 0)
        val afterRead = if (state.isKnown) minOf(state.readRevision + 1, revision) else 1
        return maxOf(newestWrite, eraStart, afterRead)
    }

    private fun apply(read: EvacuationRead, source: String) {
        val before = state
        val after = before.after(read, nowMillis())
        if (after === before) return
        state = after
        if (after.domains == before.domains && before.isKnown) return
        logChange(before, after, source)
        onChange()
        reportUnused()
    }

    private fun logChange(before: EvacuationState, after: EvacuationState, source: String) {
        (after.domains - before.domains).forEach {
            log.info(
                "evacuation: domain {} gets no requests, by {} at revision {}",
                it,
                source,
                after.revision,
            )
        }
        (before.domains - after.domains).forEach {
            if (after.isEvacuated(it, nowMillis())) {
                log.warn(
                    "evacuation: the restored store lacks domain {}, it is kept out for {} ms",
                    it,
                    EvacuationState.HOLD_MILLIS,
                )
            } else {
                log.info("evacuation: domain {} is taken back, by {}", it, source)
            }
        }
        if (!before.isKnown) {
            log.info("evacuation: known from {}, domains {}", source, after.domains)
        }
    }

    private fun reportUnused() {
        val used = serverDomains ?: return
        val requested = state.domains
        unusedDomains.retainAll(requested)
        requested
            .filter { it !in used && unusedDomains.add(it) }
            .forEach {
                log.warn("evacuation: no server is in domain {}, check the name of the key", it)
            }
    }

    private fun domainsOf(values: List<VersionedValue>): Set<String> =
        values.mapNotNullTo(HashSet()) { domainOrNull(it.key) }

    private fun domainOrNull(key: String): String? =
        key.removePrefix(PlatformKeys.EVACUATION_PREFIX).takeIf { it.isNotEmpty() }

    private companion object {
        val log = LoggerFactory.getLogger(EvacuationRegistry::class.java)
    }
}
