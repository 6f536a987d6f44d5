package io.lavenderhinge.core.forwarding

/** Where an optional scheduling decision is in force. */
enum class FeatureMode {
    /** In pools whose servers state how long work takes on their machines. */
    AUTO,
    ON,
    OFF,
}

/** The optional scheduling decisions of a deployment. */
data class SchedulingFeatures(
    /** Workspaces of one priority share the slot time of an overloaded pool. */
    val fairShares: FeatureMode = FeatureMode.AUTO,
    /** A slot that becomes free takes a waiting prompt that its server holds. */
    val promptMatching: FeatureMode = FeatureMode.AUTO,
    /** A share of the requests leaves a failure domain that is short of servers. */
    val domainSpillover: FeatureMode = FeatureMode.OFF,
    /** The quota of a workspace is charged only for requests that run. */
    val quotaRefunds: FeatureMode = FeatureMode.AUTO,
    /** The return of rejected callers is spread over the time in which there is room. */
    val pacedReturns: FeatureMode = FeatureMode.AUTO,
)

/** The optional decisions that are in force in one pool. */
internal class PoolFeatures(private val features: SchedulingFeatures) {
    /** True once a server of the pool has stated how long work takes on its machine. */
    var isWorkTimeStated = false
        private set

    val hasFairShares: Boolean
        get() = isInForce(features.fairShares)

    val hasPromptMatching: Boolean
        get() = isInForce(features.promptMatching)

    val hasDomainSpillover: Boolean
        get() = isInForce(features.domainSpillover)

    val hasQuotaRefunds: Boolean
        get() = isInForce(features.quotaRefunds)

    val hasPacedReturns: Boolean
        get() = isInForce(features.pacedReturns)

    /** Records the load that a server of the pool has stated. */
    fun onStated(load: StatedLoad) {
        if (load.workTimeFactor != null) isWorkTimeStated = true
    }

    private fun isInForce(mode: FeatureMode): Boolean =
        when (mode) {
            FeatureMode.AUTO -> isWorkTimeStated
            FeatureMode.ON -> true
            FeatureMode.OFF -> false
        }
}
