package io.lavenderhinge.core.settings

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.persistentListOf

/** An IP address and a port. */
data class Address(val ip: String, val port: Int) {
    override fun toString(): String = if (':' in ip) "[$ip]:$port" else "$ip:$port"

    companion object {
        /** Parses `ip:port` or `http://ip:port`; null when [text] is neither. */
        fun parse(text: String): Address? =
            UrlType.parse(text).getOrNull() ?: AddressType.parse(text).getOrNull()
    }
}

/** Identity of an instance. */
data class InstanceIdentity(val id: String, val failureDomain: String, val region: String)

/** Listener addresses of an instance. */
data class ListenAddresses(val caller: Address, val peer: Address, val operator: Address)

/** Addresses of the platform's services, and the budget of calls to the key-value service. */
data class PlatformSettings(
    val keyValue: Address,
    val liveList: Address,
    val weightStore: Address?,
    val readsPerSecond: Double,
    val writesPerSecond: Double,
)

/** Limits of the HTTP listeners. */
data class ListenerLimits(
    val requestLineBytes: Int,
    val headBytes: Int,
    val bodyBytes: Int,
    val headMillis: Long,
    val bodyMillis: Long,
    val idleMillis: Long,
    val connections: Int,
    val pipelinedRequests: Int,
)

/** Settings that an instance reads from its local file at startup. */
data class Bootstrap(
    val identity: InstanceIdentity,
    val listen: ListenAddresses,
    val platform: PlatformSettings,
    val limits: ListenerLimits,
    val seedPeers: ImmutableList<Address> = persistentListOf(),
)
