package io.lavenderhinge.core.forwarding

/** The state of a service in the failure domain of an instance, as reported to its peers. */
data class DomainLoadReport(
    val service: String,
    /** How long a new request waits for a slot of its failure domain. */
    val waitMillis: Double,
    /** Share of the sender's requests that leave its failure domain. */
    val shareFraction: Double,
)

/** What an operator watches of the traffic between failure domains. */
sealed interface SpilloverEvent {
    val service: String

    /** The share of the requests that leave the own failure domain has changed. */
    data class ShareChanged(
        override val service: String,
        val previousFraction: Double,
        val shareFraction: Double,
        /** How long a new request waits for a slot of the own failure domain. */
        val waitMillis: Double,
        /** The failure domains that take requests, with the waits that their instances state. */
        val targetWaitMillis: Map<String, Double>,
    ) : SpilloverEvent {
        /** True if the share has started or stopped being above zero. */
        val isStartOrStop: Boolean
            get() = (previousFraction > 0) != (shareFraction > 0)
    }

    /** A request is sent to a server of [failureDomain], possibly the own one. */
    data class RequestSent(
        override val service: String,
        val failureDomain: String,
        /** Expected size of the request and its response. */
        val sizeBytes: Double,
    ) : SpilloverEvent
}
