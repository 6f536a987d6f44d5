package io.lavenderhinge.core.ledger

import arrow.core.Either
import io.lavenderhinge.core.port.StoreFault
import io.lavenderhinge.core.port.VersionedValue

/** A call to the key-value service, requested by a shard writer. */
sealed interface StoreCall {
    val callId: Long
    val shard: Int
    val key: String

    data class Read(override val callId: Long, override val shard: Int, override val key: String) :
        StoreCall

    data class Write(
        override val callId: Long,
        override val shard: Int,
        override val key: String,
        val expectedVersion: Long,
        val value: String,
    ) : StoreCall
}

/** The result of a [StoreCall] with the same [callId]. */
sealed interface StoreResult {
    val callId: Long
    val shard: Int

    data class ReadDone(
        override val callId: Long,
        override val shard: Int,
        val result: Either<StoreFault, VersionedValue?>,
    ) : StoreResult

    data class WriteDone(
        override val callId: Long,
        override val shard: Int,
        val result: Either<StoreFault, Long>,
    ) : StoreResult
}
