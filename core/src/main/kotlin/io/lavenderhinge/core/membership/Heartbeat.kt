package io.lavenderhinge.core.membership

/**
 * Sign of life of an instance. [counter] rises within an [incarnation], and the incarnation with
 * each start. [address] and [failureDomain] are empty where receivers know them already.
 */
data class Heartbeat(
    val instanceId: String,
    val incarnation: Long,
    val counter: Long,
    val leaving: Boolean,
    val address: String = "",
    val failureDomain: String = "",
) {
    /** True when this is later than ([incarnation], [counter]). */
    fun isAfter(incarnation: Long, counter: Long): Boolean =
        this.incarnation > incarnation || this.incarnation == incarnation && this.counter > counter
}
