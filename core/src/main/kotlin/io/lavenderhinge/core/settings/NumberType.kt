package io.lavenderhinge.core.settings

import arrow.core.Either

/** A plain number, for example a weight. */
internal class NumberType(private val minimum: Double, private val maximum: Double) :
    ValueType<Double>() {
    override val unit = "number"
    override val range = "${trimmed(minimum)} to ${trimmed(maximum)}"

    override fun read(text: String): Either<ValueProblem, Double> {
        val quantity = Quantity.read(text)?.takeIf { it.unit.isEmpty() }
        if (quantity == null) return problem("is no number", "write a value in $range")
        return checkRange(quantity.amount, minimum, maximum, range)
    }
}
