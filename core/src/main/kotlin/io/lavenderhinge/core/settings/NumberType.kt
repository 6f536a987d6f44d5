package io.lavenderhinge.core.settings

import arrow.core.Either

/** A plain number, for example a weight. */
internal class NumberType(private val minimum: Double, private val maximum: Double) :
    ValueType<Double>() {
    override val unit = "number"
    override val range = "${formatNumber(minimum)} to ${formatNumber(maximum)}"

    override fun parse(text: String): Either<ValueProblem, Double> {
        val quantity = Quantity.parse(text)?.takeIf { it.unit.isEmpty() }
        if (quantity == null) return problem("is not a number", "write a value in $range")
        return checkRange(quantity.amount, minimum, maximum, range)
    }
}
