package io.lavenderhinge.core.settings

import arrow.core.Either
import arrow.core.right

/** A reference to a section `model.NAME` or `service.NAME`. */
internal object TargetType : ValueType<Target>() {
    override val unit = "reference"
    override val range = "model.NAME or service.NAME"

    override fun parse(text: String): Either<ValueProblem, Target> {
        val name = text.substringAfter('.', missingDelimiterValue = "")
        if (name.isEmpty()) return problem("does not name a section", "write $range")
        return when (text.substringBefore('.')) {
            "model" -> Target.Model(name).right()
            "service" -> Target.Service(name).right()
            else -> problem("does not name a model or a service", "write $range")
        }
    }
}
