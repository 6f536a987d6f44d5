package io.lavenderhinge.core.settings

import arrow.core.Either
import arrow.core.right

/** An IP address and a port. Host names are rejected, because instances do not resolve names. */
internal object AddressType : ValueType<Address>() {
    private val ipv4 = Regex("""\d{1,3}(\.\d{1,3}){3}""")
    private val ipv6 = Regex("""\[[0-9A-Fa-f:.]*:[0-9A-Fa-f:.]*]""")
    private val octets = 0..255
    private val ports = 0..65_535

    override val unit = "address"
    override val range = "ip:port, an IPv6 address in brackets"

    override fun parse(text: String): Either<ValueProblem, Address> {
        val ip = text.substringBeforeLast(':', missingDelimiterValue = "")
        val port = text.substringAfterLast(':').toIntOrNull()
        if (port == null || port !in ports) {
            return problem("has no valid port", "write it as 10.0.0.1:8080")
        }
        if (!isIp(ip)) return problem("has no IP address", "write it as 10.0.0.1:8080")
        return Address(ip.removeSurrounding("[", "]"), port).right()
    }

    private fun isIp(text: String): Boolean =
        ipv6.matches(text) || ipv4.matches(text) && text.split('.').all { it.toInt() in octets }
}
