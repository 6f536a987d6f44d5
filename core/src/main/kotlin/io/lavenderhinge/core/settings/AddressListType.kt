package io.lavenderhinge.core.settings

import arrow.core.Either
import arrow.core.raise.either
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.toImmutableList

/** Comma-separated addresses; may be empty. */
internal object AddressListType : ValueType<ImmutableList<Address>>() {
    override val unit = "addresses"
    override val range = "ip:port separated by commas"

    override fun parse(text: String): Either<ValueProblem, ImmutableList<Address>> = either {
        text
            .split(',')
            .map { it.trim() }
            .filter { it.isNotEmpty() }
            .map { AddressType.parse(it).bind() }
            .toImmutableList()
    }
}
