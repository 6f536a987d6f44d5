package io.lavenderhinge.core.port

import arrow.core.Either
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.persistentListOf

/** A value in the platform's key-value service. [version] increases with every write of the key. */
data class VersionedValue(val key: String, val value: String, val version: Long)

/** Result of a watch: the changes after the requested revision, and the revision to resume from. */
data class WatchResult(
    val changes: ImmutableList<VersionedValue>,
    val revision: Long,
    /** Keys that were deleted or whose lease expired, and that have not been written since. */
    val removedKeys: ImmutableList<String> = persistentListOf(),
)

/** The values under a prefix at [revision], from which a watch can continue. */
data class Snapshot(val values: ImmutableList<VersionedValue>, val revision: Long)

/** A lease; keys written with its [id] are deleted when it expires. */
data class Lease(val id: String, val timeToLiveMillis: Long)

/** Why a call to the key-value service failed. */
sealed interface StoreFault {
    /** What failed and how to recover. */
    val message: String

    /** The expected version was not the current one; nothing was written. */
    data class Conflict(val current: VersionedValue?) : StoreFault {
        override val message =
            "the value was changed concurrently; read it again and reapply the change"
    }

    /** The call was not sent or was refused; nothing was written. */
    data class Unavailable(override val message: String) : StoreFault

    /** No response arrived; a write may have taken effect. Read the key before continuing. */
    data class OutcomeUnknown(override val message: String) : StoreFault

    /** The service has discarded the history that a watch asked for; nothing was missed yet. */
    data object HistoryLost : StoreFault {
        override val message =
            "the history was discarded; read the keys again and watch from that revision"
    }

    /** The value exceeds the service's limit of 1 MB; nothing was written. */
    data class TooLarge(val sizeBytes: Int) : StoreFault {
        override val message = "a value of $sizeBytes bytes exceeds 1 MB; split it"
    }

    /** The call budget of this instance is exhausted; nothing was sent. */
    data class BudgetExhausted(val retryAfterMillis: Long) : StoreFault {
        override val message = "the call budget is exhausted; retry after $retryAfterMillis ms"
    }
}

/**
 * The platform's key-value service: compare-and-swap, leases and watches.
 *
 * It stores all state that outlives an instance. Every call, including a pending watch, counts
 * against a budget.
 */
interface KeyValueStore {
    /** Reads [key]; null when it was never written. */
    suspend fun get(key: String): Either<StoreFault, VersionedValue?>

    /** Reads all keys that start with [prefix], in key order. */
    suspend fun list(prefix: String): Either<StoreFault, ImmutableList<VersionedValue>>

    /**
     * Writes [value] if the version of [key] is [expectedVersion] (0: the key must not exist).
     * Returns the new version.
     */
    suspend fun compareAndSwap(
        key: String,
        expectedVersion: Long,
        value: String,
        leaseId: String? = null,
    ): Either<StoreFault, Long>

    /**
     * Waits up to [waitMillis] for changes of keys under [prefix] after [afterRevision]; an empty
     * result means that it timed out without a change.
     */
    suspend fun watch(
        prefix: String,
        afterRevision: Long,
        waitMillis: Long,
    ): Either<StoreFault, WatchResult>

    /** Grants a lease that expires [timeToLiveMillis] after its last renewal. */
    suspend fun grantLease(timeToLiveMillis: Long): Either<StoreFault, Lease>

    /** Renews a lease; [StoreFault.Conflict] with null when it has expired. */
    suspend fun renewLease(leaseId: String): Either<StoreFault, Lease>
}

/** A [KeyValueStore] whose reads return the revision from which a watch can continue. */
interface SnapshotStore : KeyValueStore {
    /** Reads all keys that start with [prefix]. */
    suspend fun snapshot(prefix: String): Either<StoreFault, Snapshot>
}
