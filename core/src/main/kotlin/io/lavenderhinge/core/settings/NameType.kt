package io.lavenderhinge.core.settings

import arrow.core.Either
import arrow.core.right

/** A name as used for teams, sections, instances and failure domains. */
internal object NameType : ValueType<String>() {
    // Names are path segments of keys in the key-value service, so they must not contain a slash.
    private val pattern = Regex("[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?")

    override val unit = "name"
    override val range = "1 to 63 of a-z, 0-9 and -, no - at either end"

    override fun parse(text: String): Either<ValueProblem, String> =
        if (pattern.matches(text)) text.right() else problem("is not a valid name", "use $range")
}
