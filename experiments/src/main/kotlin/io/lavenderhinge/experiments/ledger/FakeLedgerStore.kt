package io.lavenderhinge.experiments.ledger

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.lavenderhinge.core.ledger.StoreCall
import io.lavenderhinge.core.ledger.StoreResult
import io.lavenderhinge.core.port.StoreFault
import io.lavenderhinge.core.port.VersionedValue
import kotlin.random.Random

/**
 * Simulated key-value service of the platform with outages, slow phases and lost responses. A write
 * whose response is lost may take effect before the caller's timeout, after it or never.
 */
class FakeLedgerStore(private val clock: VirtualClock, private val random: Random) {
    private val values = HashMap<String, VersionedValue>()

    var isDown = false
    var isSlow = false
    var responseLossFraction = 0.0

    var writeCount = 0L
        private set

    var readCount = 0L
        private set

    var writtenBytes = 0L
        private set

    var readBytes = 0L
        private set

    var largestValueBytes = 0
        private set

    val storedBytes: Long
        get() = values.values.sumOf { it.value.length.toLong() }

    fun call(call: StoreCall, onResult: (StoreResult) -> Unit) {
        countCall(call)
        if (isDown) {
            val fault = StoreFault.Unavailable("the simulated store is unavailable").left()
            return clock.scheduleAfter(REFUSAL_DELAY_MICROS) {
                onResult(resultOf(call, fault, fault))
            }
        }
        val isResponseLost = random.nextDouble() < responseLossFraction
        if (isResponseLost) return loseResponse(call, onResult)
        clock.scheduleAfter(delayMicros()) {
            val result = apply(call)
            clock.scheduleAfter(delayMicros()) { onResult(result) }
        }
    }

    private fun loseResponse(call: StoreCall, onResult: (StoreResult) -> Unit) {
        val fault = StoreFault.OutcomeUnknown("the response of the simulated store was lost").left()
        val timeoutMicros = 200_000L
        if (random.nextDouble() < 0.8) {
            clock.scheduleAfter(random.nextLong(6 * timeoutMicros)) { apply(call) }
        }
        clock.scheduleAfter(timeoutMicros) { onResult(resultOf(call, fault, fault)) }
    }

    private fun delayMicros(): Long =
        if (isSlow) random.nextLong(200_000, 2_500_000) else random.nextLong(500, 2_500)

    private fun apply(call: StoreCall): StoreResult =
        when (call) {
            is StoreCall.Read -> {
                val value = values[call.key]
                readBytes += value?.value?.length ?: 0
                StoreResult.ReadDone(call.callId, call.shard, value.right())
            }
            is StoreCall.Write -> StoreResult.WriteDone(call.callId, call.shard, write(call))
        }

    private fun write(call: StoreCall.Write): Either<StoreFault, Long> {
        val current = values[call.key]
        if ((current?.version ?: 0) != call.expectedVersion) {
            // A store adapter may be unable to report the conflicting value.
            val reported = current.takeIf { random.nextInt(5) > 0 }
            return StoreFault.Conflict(reported).left()
        }
        val next = VersionedValue(call.key, call.value, call.expectedVersion + 1)
        values[call.key] = next
        return next.version.right()
    }

    private fun countCall(call: StoreCall) {
        when (call) {
            is StoreCall.Read -> readCount++
            is StoreCall.Write -> {
                writeCount++
                writtenBytes += call.value.length
                largestValueBytes = maxOf(largestValueBytes, call.value.length)
            }
        }
    }

    private fun resultOf(
        call: StoreCall,
        read: Either<StoreFault, VersionedValue?>,
        write: Either<StoreFault, Long>,
    ): StoreResult =
        when (call) {
            is StoreCall.Read -> StoreResult.ReadDone(call.callId, call.shard, read)
            is StoreCall.Write -> StoreResult.WriteDone(call.callId, call.shard, write)
        }

    private companion object {
        const val REFUSAL_DELAY_MICROS = 5_000L
    }
}
