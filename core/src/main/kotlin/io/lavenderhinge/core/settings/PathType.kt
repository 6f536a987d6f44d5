package io.lavenderhinge.core.settings

import arrow.core.Either
import arrow.core.right

/** A path of a request target, without a query and without a trailing slash. */
internal object PathType : ValueType<String>() {
    private val pattern = Regex("(/[A-Za-z0-9._~-]+)+")

    override val unit = "path"
    override val range = "/ and segments of letters, digits and . _ ~ -"

    override fun parse(text: String): Either<ValueProblem, String> {
        if (!pattern.matches(text)) {
            return problem("is not a path", "write it as /v1/chat/completions")
        }
        return text.right()
    }
}
