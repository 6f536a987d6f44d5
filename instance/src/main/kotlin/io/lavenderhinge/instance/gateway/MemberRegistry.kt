package io.lavenderhinge.instance.gateway

import io.lavenderhinge.core.port.Lease
import io.lavenderhinge.core.port.Snapshot
import io.lavenderhinge.core.port.SnapshotStore
import io.lavenderhinge.core.port.StoreFault
import io.lavenderhinge.core.port.VersionedValue
import io.lavenderhinge.core.port.WatchResult
import io.lavenderhinge.core.settings.Address
import io.lavenderhinge.instance.control.ControlThread
import io.lavenderhinge.platform.PlatformKeys
import io.lavenderhinge.platform.PlatformStore
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.slf4j.LoggerFactory

/**
 * Registers this instance in the store under a lease and discovers the other instances.
 *
 * Peers are also learned from their load reports, so discovery only has to connect each instance to
 * one other.
 */
internal class MemberRegistry(
    private val selfId: String,
    private val address: Address,
    private val store: SnapshotStore,
    private val control: ControlThread,
    private val onMembers: (Map<String, Address>) -> Unit,
    /** Called once when a list that holds this run's own entry has been passed to [onMembers]. */
    private val onListed: () -> Unit,
) : StoreListener {
    private var lease: Lease? = null
    private var registration: Job? = null
    private var registeredRevision: Long? = null
    private var isListed = false
    private val members = HashMap<String, Address>()

    /** Starts registering and renewing the lease. */
    fun start() {
        registration = control.scope.launch { maintainRegistration() }
    }

    /** Stops renewing the lease, so that the entry expires. */
    fun stop() {
        registration?.cancel()
    }

    override fun onSnapshot(snapshot: Snapshot) {
        members.clear()
        snapshot.values.forEach(::accept)
        onMembers(members.toMap())
        checkListed(snapshot.revision)
    }

    override fun onChanges(changes: WatchResult) {
        if (changes.changes.isNotEmpty() || changes.removedKeys.isNotEmpty()) {
            changes.changes.forEach(::accept)
            changes.removedKeys.forEach { members.remove(memberId(it)) }
            onMembers(members.toMap())
        }
        checkListed(changes.revision)
    }

    // The own entry alone proves nothing: it may be that of the run before.
    private fun checkListed(revision: Long) {
        val registered = registeredRevision
        if (isListed || registered == null || revision < registered) return
        isListed = true
        onListed()
    }

    // Reporting peers stay known while the store is unavailable.
    override fun onStoreUnavailable(fault: StoreFault) = Unit

    private fun accept(value: VersionedValue) {
        val id = memberId(value.key)
        val address = Address.parse(value.value)
        if (address == null)
            log.warn("members: ignoring entry {}: its value is not an address", value.key)
        else if (id != selfId) members[id] = address
    }

    private fun memberId(key: String) = key.removePrefix(PlatformKeys.MEMBER_PREFIX)

    private suspend fun maintainRegistration() {
        while (true) {
            val renewed = lease?.let { store.renewLease(it.id) }
            if (renewed == null || renewed.leftOrNull() is StoreFault.Conflict) register()
            delay(RENEW_MILLIS)
        }
    }

    private suspend fun register() {
        val granted = store.grantLease(LEASE_MILLIS).getOrNull() ?: return
        store
            .compareAndSwap(
                PlatformKeys.MEMBER_PREFIX + selfId,
                PlatformStore.ANY_VERSION,
                address.toString(),
                granted.id,
            )
            .fold(
                { log.warn("members: failed to register: {}", it.message) },
                {
                    lease = granted
                    registeredRevision = it
                    log.info("members: registered at revision {}", it)
                },
            )
    }

    private companion object {
        const val LEASE_MILLIS = 10_000L
        const val RENEW_MILLIS = 3_000L
        val log = LoggerFactory.getLogger(MemberRegistry::class.java)
    }
}
