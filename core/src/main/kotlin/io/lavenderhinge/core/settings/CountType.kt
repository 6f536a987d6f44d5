package io.lavenderhinge.core.settings

import arrow.core.Either

/** A whole number. */
internal class CountType(private val minimum: Int, private val maximum: Int) : ValueType<Int>() {
    override val unit = "whole number"
    override val range = "$minimum to $maximum"

    override fun parse(text: String): Either<ValueProblem, Int> {
        val count = text.toIntOrNull() ?: return problem("is not a whole number", "write $range")
        return checkRange(count, minimum, maximum, range)
    }
}
