package io.lavenderhinge.core.settings

import arrow.core.Either
import arrow.core.left
import arrow.core.right

/** Why a value is invalid, and what to write instead. */
internal data class ValueProblem(val reason: String, val remedy: String)

/** Parses values of one type. */
internal sealed class ValueType<T : Any> {
    /** Unit or form of the value, for the reference page. */
    abstract val unit: String

    /** Allowed values, for the reference page and for remedies. */
    abstract val range: String

    /** Returns the value, or why [text] is invalid. */
    abstract fun parse(text: String): Either<ValueProblem, T>

    protected fun problem(reason: String, remedy: String) = ValueProblem(reason, remedy).left()
}

/** A quantity: digits with an optional fraction, then a unit. */
internal data class Quantity(val amount: Double, val unit: String) {
    companion object {
        private val pattern = Regex("""(\d+(?:\.\d+)?)\s*([A-Za-z%]*)""")

        fun parse(text: String): Quantity? =
            pattern.matchEntire(text)?.let {
                Quantity(it.groupValues[1].toDouble(), it.groupValues[2])
            }
    }
}

/** Checks that [value] lies in [minimum]..[maximum]. */
internal fun <T : Comparable<T>> checkRange(
    value: T,
    minimum: T,
    maximum: T,
    range: String,
): Either<ValueProblem, T> =
    when {
        value < minimum -> ValueProblem("is too small", "write a value in $range").left()
        value > maximum -> ValueProblem("is too large", "write a value in $range").left()
        else -> value.right()
    }
