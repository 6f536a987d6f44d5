package io.lavenderhinge.core.settings

import io.lavenderhinge.core.forwarding.QuotaTolerance
import kotlinx.collections.immutable.ImmutableList

/** Where an instance on the platform listens. */
data class GatewayListeners(
    /** For clients. */
    val caller: Address,
    /** Answers whether the instance is ready. */
    val ready: Address,
    /** For other instances: gRPC over TCP and load reports over UDP. */
    val peer: Address,
    /** Metrics and status. */
    val operator: Address,
)

/** Bounds that the deployment sets. */
data class GatewayBounds(
    val gracePeriodMillis: Long,
    /** Sends beyond the first, as a share of the requests of a service. */
    val repeatRatio: Double,
    /** Sends beyond the first that the whole fleet has besides, in each window. */
    val repeatSlack: Double,
    val quotaTolerance: QuotaTolerance,
)

/** What an instance on the platform reads from its own file when it starts. */
data class GatewaySettings(
    val identity: InstanceIdentity,
    val listen: GatewayListeners,
    /** The platform's metadata store. */
    val store: Address,
    val bounds: GatewayBounds,
    /** Addresses of some instances; they may be stale. */
    val seeds: ImmutableList<Address>,
)
