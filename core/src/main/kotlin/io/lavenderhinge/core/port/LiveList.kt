package io.lavenderhinge.core.port

import arrow.core.Either
import kotlinx.collections.immutable.ImmutableList

/** Kind of a member of the live list. */
enum class MemberKind {
    INSTANCE,
    MODEL_ENGINE,
    PLAIN_SERVICE,
}

/**
 * A member of the platform's live list. [address] is `ip:port`; for an instance it is the address
 * of its peer port. [serves] names the model or service and [version] its version; both are empty
 * for an instance. [checksOrders] is false for a backend server that does not check the fencing
 * numbers of orders.
 */
data class ListedMember(
    val id: String,
    val kind: MemberKind,
    val address: String,
    val failureDomain: String,
    val region: String,
    val leaving: Boolean,
    val serves: String = "",
    val version: String = "",
    val hardwareGeneration: Int = 1,
    val checksOrders: Boolean = true,
)

/** Why the live list could not be read. */
data class LiveListFault(val message: String)

/** The platform's list of live and leaving members, which lags behind their actual state. */
fun interface LiveList {
    /** Reads the whole list. */
    suspend fun fetch(): Either<LiveListFault, ImmutableList<ListedMember>>
}
