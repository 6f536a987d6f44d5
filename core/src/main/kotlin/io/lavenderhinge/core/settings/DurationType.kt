package io.lavenderhinge.core.settings

import arrow.core.Either

/** A duration with a unit, parsed to milliseconds. */
internal class DurationType(private val minimum: String, private val maximum: String) :
    ValueType<Long>() {
    override val unit = "duration (ms, s, m, h, d)"
    override val range = "$minimum to $maximum"

    override fun parse(text: String): Either<ValueProblem, Long> {
        val quantity =
            Quantity.parse(text) ?: return problem("is not a duration", "write it as 30s or 46ms")
        if (quantity.unit.isEmpty()) {
            return problem("has no unit", "write ${text}s or ${text}ms, whichever is meant")
        }
        val millis =
            millisOf(quantity)
                ?: return problem("has the unknown unit ${quantity.unit}", "use ms, s, m, h or d")
        return checkRange(millis, limit(minimum), limit(maximum), range)
    }

    private fun millisOf(quantity: Quantity): Long? =
        millisByUnit[quantity.unit]?.let { (quantity.amount * it).toLong() }

    private fun limit(text: String): Long = checkNotNull(Quantity.parse(text)?.let(::millisOf))

    private companion object {
        val millisByUnit =
            mapOf("ms" to 1L, "s" to 1_000L, "m" to 60_000L, "h" to 3_600_000L, "d" to 86_400_000L)
    }
}
