package io.lavenderhinge.core.ledger

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlin.random.Random

/** Why an idempotency key was rejected. The request is not run. */
sealed interface KeyFault {
    /** Description of the fault and of what to send instead. */
    val message: String

    /** The key is empty, too long or contains characters outside printable ASCII. */
    data object Malformed : KeyFault {
        override val message =
            "an idempotency key has 1 to ${IdempotencyKey.MAX_CHARS} printable ASCII characters " +
                "without spaces; send a UUIDv7"
    }

    /** The key carries no creation time. */
    data object Untimed : KeyFault {
        override val message =
            "the idempotency key carries no creation time; send a UUIDv7 or " +
                "'<epoch seconds>-<any>', or set 'untimed-keys = accept' on the route"
    }

    /** The key's creation time is too far ahead of this instance's clock. */
    data class InFuture(val aheadMillis: Long) : KeyFault {
        override val message =
            "the idempotency key was created $aheadMillis ms ahead of this instance's clock; " +
                "set the caller's clock and create a new key"
    }
}

/**
 * An idempotency key, scoped to a [workspace]: the same text in two workspaces makes two keys.
 *
 * [createdAtMillis] is the creation time embedded in the key, in epoch milliseconds; null for an
 * untimed key.
 */
data class IdempotencyKey(val workspace: String, val text: String, val createdAtMillis: Long?) {
    /** The name of the key in ledger records. */
    val recordName: String
        get() = "$workspace/$text"

    companion object {
        const val MAX_CHARS = 128

        /**
         * A key further ahead would prevent its segment from being dropped long after the other
         * keys in it expired.
         */
        const val MAX_AHEAD_MILLIS = 300_000L

        private const val MILLIS_PER_SECOND = 1000L
        private const val HEX_RADIX = 16
        private const val TIMESTAMP_SHIFT_BITS = 16
        private const val TIME_HEX_DIGITS = 12
        private const val VERSION_BITS = 0x7000L
        private const val RANDOM_12_BITS = 0xfffL
        private const val VARIANT_BITS = 1L shl 63
        private const val RANDOM_62_BITS = (1L shl 62) - 1
        private val UUID_V7 =
            Regex("[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}")
        private val EPOCH_SECONDS = Regex("([0-9]{9,11})-.+")

        /**
         * Parses the value of `Idempotency-Key`. Untimed keys are rejected unless [acceptUntimed].
         */
        fun parse(
            workspace: String,
            text: String,
            nowMillis: Long,
            acceptUntimed: Boolean,
        ): Either<KeyFault, IdempotencyKey> {
            if (text.length !in 1..MAX_CHARS || text.any { it !in '!'..'~' }) {
                return KeyFault.Malformed.left()
            }
            val createdAt = creationTime(text)
            if (createdAt == null && !acceptUntimed) return KeyFault.Untimed.left()
            val aheadMillis = (createdAt ?: nowMillis) - nowMillis
            if (aheadMillis > MAX_AHEAD_MILLIS) return KeyFault.InFuture(aheadMillis).left()
            return IdempotencyKey(workspace, text, createdAt).right()
        }

        /** Creates a UUIDv7 key for a request without a key. */
        fun generate(workspace: String, nowMillis: Long, random: Random): IdempotencyKey {
            val high =
                (nowMillis shl TIMESTAMP_SHIFT_BITS) or
                    VERSION_BITS or
                    (random.nextLong() and RANDOM_12_BITS)
            val low = VARIANT_BITS or (random.nextLong() and RANDOM_62_BITS)
            return IdempotencyKey(workspace, java.util.UUID(high, low).toString(), nowMillis)
        }

        private fun creationTime(text: String): Long? {
            val lowercase = text.lowercase()
            if (UUID_V7.matches(lowercase)) {
                return lowercase.replace("-", "").take(TIME_HEX_DIGITS).toLong(HEX_RADIX)
            }
            val seconds = EPOCH_SECONDS.matchEntire(text)?.groupValues?.get(1) ?: return null
            return seconds.toLong() * MILLIS_PER_SECOND
        }
    }
}
