package io.lavenderhinge.core.settings

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.right

/** A share in percent, parsed to a fraction. */
internal class ShareType(private val minimumPercent: Double, private val maximumPercent: Double) :
    ValueType<Double>() {
    override val unit = "share (%)"
    override val range = "${formatNumber(minimumPercent)}% to ${formatNumber(maximumPercent)}%"

    override fun parse(text: String): Either<ValueProblem, Double> {
        val quantity = Quantity.parse(text) ?: return problem("is not a share", "write it as 5%")
        if (quantity.unit != "%") return problem("has no percent sign", "write a share as 5%")
        return checkRange(quantity.amount, minimumPercent, maximumPercent, range).flatMap {
            (it / PERCENT).right()
        }
    }

    private companion object {
        const val PERCENT = 100.0
    }
}

/** Renders a number without a trailing `.0`. */
internal fun formatNumber(number: Double): String =
    if (number % 1.0 == 0.0) number.toLong().toString() else number.toString()
