package io.lavenderhinge.core.settings

import io.lavenderhinge.core.forwarding.ColdTolerance
import io.lavenderhinge.core.forwarding.ExposureLimit
import io.lavenderhinge.core.forwarding.PropagationBounds
import io.lavenderhinge.core.forwarding.QuotaTolerance
import io.lavenderhinge.core.forwarding.RegionTable
import io.lavenderhinge.core.forwarding.SchedulingFeatures
import kotlinx.collections.immutable.ImmutableList

/** Listener addresses of a gateway. */
data class GatewayListeners(
    /** Requests of clients. */
    val caller: Address,
    /** Readiness checks. */
    val ready: Address,
    /** Other instances: gRPC over TCP and load reports over UDP. */
    val peer: Address,
    /** Metrics and status. */
    val operator: Address,
)

/** Limits that the deployment sets. */
data class GatewayBounds(
    val gracePeriodMillis: Long,
    val propagation: PropagationBounds,
    /** Retries, as a share of the requests of a service. */
    val repeatRatio: Double,
    /** Additional retries of the whole fleet in each window. */
    val repeatSlack: Double,
    val quotaTolerance: QuotaTolerance,
    /** Requests to a cold server that are tolerated above its limit. */
    val coldTolerance: ColdTolerance,
    /** Requests that may reach a version under rollout. */
    val exposure: ExposureLimit,
)

/** Settings that a gateway reads from its local file at startup. */
data class GatewaySettings(
    val identity: InstanceIdentity,
    /** Regions of the failure domains. */
    val regions: RegionTable,
    val listen: GatewayListeners,
    /** The platform's metadata store. */
    val store: Address,
    val bounds: GatewayBounds,
    /** Optional scheduling decisions and where they are in force. */
    val scheduling: SchedulingFeatures,
    /** Addresses of some instances; they may be stale. */
    val seeds: ImmutableList<Address>,
)
