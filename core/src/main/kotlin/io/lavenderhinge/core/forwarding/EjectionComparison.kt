package io.lavenderhinge.core.forwarding

import kotlinx.collections.immutable.toImmutableList

/**
 * Decides which ejections of the servers of one pool, [records], are in force.
 *
 * A server that failed requests is kept out of use only while the others do better, and only as
 * long as at most half of the pool is: otherwise a service whose servers all fail some requests
 * would be refused although it answers the rest. Servers that are lost or cannot be reached stay
 * ejected in any case.
 */
internal class EjectionComparison(
    private val records: Collection<ServerRecord>,
    private val averages: PoolAverages = PoolAverages(records),
) {
    private val worstFirst =
        compareByDescending<ServerRecord> { fractionOf(it) }.thenBy { it.entry.id }

    /** Returns true if [record] may only be tested with one request at a time. */
    fun isInForce(record: ServerRecord): Boolean {
        if (!record.isHalfOpen) return false
        if (!record.isEjectedByFailures) return true
        val fraction = fractionOf(record)
        if (fraction <= TOLERATED_RATIO * othersFraction(record) + TOLERATED_EXCESS) return false
        val maxKeptOut = records.size / 2
        val keptOut = records.filter { it.isEjectedByFailures }
        return keptOut.size <= maxKeptOut ||
            keptOut.sortedWith(worstFirst).indexOf(record) < maxKeptOut
    }

    /** Describes the ejection of [record]. */
    fun describe(record: ServerRecord) =
        ServerEjection(
            record.entry.run,
            record.entry.service,
            fractionOf(record),
            records.filter { it !== record }.map { it.entry.id }.toImmutableList(),
            othersFraction(record),
            isInForce(record),
        )

    /** Returns the share of failures of the servers other than [record]. */
    fun othersFraction(record: ServerRecord): Double {
        val own = record.failureRate.fraction(expected = 0.0)
        if (records.size < 2) return own
        return (averages.failureFractionSum - own).coerceAtLeast(0.0) / (records.size - 1)
    }

    private fun fractionOf(record: ServerRecord) =
        record.failureRate.fraction(expected = othersFraction(record))

    private companion object {
        const val TOLERATED_RATIO = 1.5
        /** Below the share at which a server among sound ones is ejected. */
        const val TOLERATED_EXCESS = 0.05
    }
}
