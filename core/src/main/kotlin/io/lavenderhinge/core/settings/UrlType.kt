package io.lavenderhinge.core.settings

import arrow.core.Either
import arrow.core.right

/** An `http://ip:port` URL; the adapter appends the path. */
internal object UrlType : ValueType<Address>() {
    private const val SCHEME = "http://"

    override val unit = "URL"
    override val range = "http://ip:port"

    override fun parse(text: String): Either<ValueProblem, Address> {
        if (!text.startsWith(SCHEME)) return problem("is not an http URL", "write $range")
        return AddressType.parse(text.removePrefix(SCHEME).trimEnd('/'))
            .fold({ problem(it.reason, "write it as http://10.0.0.1:2379") }, { it.right() })
    }
}
