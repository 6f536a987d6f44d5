package io.lavenderhinge.core.settings

import arrow.core.Either
import arrow.core.right

/** One of a fixed set of words. */
internal class ChoiceType<T : Any>(private val choices: Map<String, T>) : ValueType<T>() {
    override val unit = "word"
    override val range = choices.keys.joinToString(" or ")

    override fun parse(text: String): Either<ValueProblem, T> {
        val choice = choices[text]
        return choice?.right() ?: problem("is not one of the allowed values", "write $range")
    }
}
