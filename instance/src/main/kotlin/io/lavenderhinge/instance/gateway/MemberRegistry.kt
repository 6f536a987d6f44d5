package io.lavenderhinge.instance.gateway

import io.lavenderhinge.core.port.Lease
import io.lavenderhinge.core.port.SnapshotStore
import io.lavenderhinge.core.port.StoreFault
import io.lavenderhinge.core.settings.Address
import io.lavenderhinge.instance.control.ControlThread
import io.lavenderhinge.platform.PlatformKeys
import io.lavenderhinge.platform.PlatformStore
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.slf4j.LoggerFactory

/**
 * Registers this instance in the store under a lease and finds the others there.
 *
 * Peers that send load reports are known without the store, so this only has to bring each instance
 * in touch with one other.
 */
internal class MemberRegistry(
    private val selfId: String,
    private val address: Address,
    private val store: SnapshotStore,
    private val control: ControlThread,
    private val onMembers: (Map<String, Address>) -> Unit,
) {
    private var lease: Lease? = null
    private val jobs = mutableListOf<Job>()

    /** Starts to register and to read the list. */
    fun start() {
        jobs += control.scope.launch { register() }
        jobs += control.scope.launch { read() }
    }

    /** Stops renewing; the entry lapses. */
    fun stop() = jobs.forEach { it.cancel() }

    private suspend fun register() {
        while (true) {
            val renewed = lease?.let { store.renewLease(it.id) }
            if (renewed == null || renewed.leftOrNull() is StoreFault.Conflict) create()
            delay(RENEW_MILLIS)
        }
    }

    private suspend fun create() {
        val granted = store.grantLease(LEASE_MILLIS).getOrNull() ?: return
        store
            .compareAndSwap(
                PlatformKeys.MEMBER_PREFIX + selfId,
                PlatformStore.ANY_VERSION,
                address.toString(),
                granted.id,
            )
            .fold(
                { log.warn("members: registration failed: {}", it.message) },
                {
                    lease = granted
                    log.info("members: registered at revision {}", it)
                },
            )
    }

    private suspend fun read() {
        var reads = 0
        while (true) {
            store.snapshot(PlatformKeys.MEMBER_PREFIX, allowStale = true).onRight { snapshot ->
                val members =
                    snapshot.values
                        .mapNotNull { value ->
                            val id = value.key.removePrefix(PlatformKeys.MEMBER_PREFIX)
                            Address.parse(value.value)?.let { id to it }
                        }
                        .toMap()
                onMembers(members - selfId)
            }
            delay(if (reads++ < FAST_READS) FAST_READ_MILLIS else READ_MILLIS)
        }
    }

    private companion object {
        const val LEASE_MILLIS = 10_000L
        const val RENEW_MILLIS = 3_000L
        const val READ_MILLIS = 3_000L
        /** All instances start at about the same time and register meanwhile. */
        const val FAST_READS = 6
        const val FAST_READ_MILLIS = 500L
        val log = LoggerFactory.getLogger(MemberRegistry::class.java)
    }
}
