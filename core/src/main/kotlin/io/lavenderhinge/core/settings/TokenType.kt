package io.lavenderhinge.core.settings

import arrow.core.Either
import arrow.core.right

/** Printable text without spaces, such as a credential or a version. */
internal class TokenType(private val maximumLength: Int) : ValueType<String>() {
    override val unit = "text"
    override val range = "1 to $maximumLength printable characters without spaces"

    override fun parse(text: String): Either<ValueProblem, String> {
        val printable = text.all { it in '!'..'~' }
        if (text.isEmpty() || text.length > maximumLength || !printable) {
            return problem("is not valid text", "write $range")
        }
        return text.right()
    }
}
