package io.lavenderhinge.core.membership

/**
 * Liveness message of an instance. [counter] increases within an [incarnation], and each start has
 * a higher incarnation. [address] and [failureDomain] are left empty when receivers are expected to
 * know them.
 */
data class Heartbeat(
    val instanceId: String,
    val incarnation: Long,
    val counter: Long,
    val leaving: Boolean,
    val address: String = "",
    val failureDomain: String = "",
) {
    /** True when this heartbeat is newer than ([incarnation], [counter]). */
    fun isAfter(incarnation: Long, counter: Long): Boolean =
        this.incarnation > incarnation || this.incarnation == incarnation && this.counter > counter
}
