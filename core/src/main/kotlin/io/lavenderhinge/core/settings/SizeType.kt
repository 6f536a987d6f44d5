package io.lavenderhinge.core.settings

import arrow.core.Either

/** A size with a unit (powers of 1,024), parsed to bytes. */
internal class SizeType(private val minimum: String, private val maximum: String) :
    ValueType<Int>() {
    override val unit = "size (B, KB, MB)"
    override val range = "$minimum to $maximum"

    override fun parse(text: String): Either<ValueProblem, Int> {
        val quantity = Quantity.parse(text) ?: return problem("is not a size", "write it as 64KB")
        if (quantity.unit.isEmpty()) {
            return problem("has no unit", "write ${text}B or ${text}KB, whichever is meant")
        }
        val bytes =
            bytesOf(quantity)
                ?: return problem("has the unknown unit ${quantity.unit}", "use B, KB or MB")
        return checkRange(bytes, limit(minimum), limit(maximum), range)
    }

    private fun bytesOf(quantity: Quantity): Int? =
        bytesByUnit[quantity.unit]?.let { (quantity.amount * it).toInt() }

    private fun limit(text: String): Int = checkNotNull(Quantity.parse(text)?.let(::bytesOf))

    private companion object {
        val bytesByUnit = mapOf("B" to 1, "KB" to 1_024, "MB" to 1_048_576)
    }
}
