package io.lavenderhinge.core.port

import arrow.core.Either
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.persistentListOf

/** A value at the platform's key-value service. [version] rises with every write of the key. */
data class VersionedValue(val key: String, val value: String, val version: Long)

/** Result of a watch: the changes after the asked revision, and the revision to ask from next. */
data class WatchResult(
    val changes: ImmutableList<VersionedValue>,
    val revision: Long,
    /** Keys that were deleted or whose lease lapsed, and that were not written again since. */
    val removedKeys: ImmutableList<String> = persistentListOf(),
)

/** The values under a prefix as of [revision], from which a watch can go on. */
data class Snapshot(val values: ImmutableList<VersionedValue>, val revision: Long)

/** A lease of the platform; keys written with [id] vanish when it lapses. */
data class Lease(val id: String, val timeToLiveMillis: Long)

/** Why a call to the key-value service gave no result. */
sealed interface StoreFault {
    /** What went wrong and what to do about it. */
    val message: String

    /** The expected version was not the current one; nothing was written. */
    data class Conflict(val current: VersionedValue?) : StoreFault {
        override val message =
            "the value changed meanwhile; read it again and repeat the change on the new version"
    }

    /** The call was not sent or was refused; nothing was written. */
    data class Unavailable(override val message: String) : StoreFault

    /** The answer was lost; a write may have taken effect. Read the key back before going on. */
    data class OutcomeUnknown(override val message: String) : StoreFault

    /** The service has dropped the history that a watch asked for; nothing was missed yet. */
    data object HistoryLost : StoreFault {
        override val message = "the history is gone; read the keys anew and watch from there"
    }

    /** The value is over the service's limit of 1 MB; nothing was written. */
    data class TooLarge(val sizeBytes: Int) : StoreFault {
        override val message = "a value of $sizeBytes bytes is over 1 MB; split it"
    }

    /** The instance's own budget of calls is used up; nothing was sent. */
    data class BudgetExhausted(val retryAfterMillis: Long) : StoreFault {
        override val message = "the call budget is used up; retry after $retryAfterMillis ms"
    }
}

/**
 * The platform's key-value service: compare-and-swap, leases and watches.
 *
 * It holds everything that outlives an instance. Every call, a waiting watch included, counts
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
     * result means that the wait ended without a change.
     */
    suspend fun watch(
        prefix: String,
        afterRevision: Long,
        waitMillis: Long,
    ): Either<StoreFault, WatchResult>

    /** Grants a lease that lapses [timeToLiveMillis] after its last renewal. */
    suspend fun grantLease(timeToLiveMillis: Long): Either<StoreFault, Lease>

    /** Renews a lease; [StoreFault.Conflict] with null when it has lapsed. */
    suspend fun renewLease(leaseId: String): Either<StoreFault, Lease>
}

/** A [KeyValueStore] whose reads tell the revision that a watch goes on from. */
interface SnapshotStore : KeyValueStore {
    /** Reads all keys that start with [prefix]. */
    suspend fun snapshot(prefix: String): Either<StoreFault, Snapshot>
}
