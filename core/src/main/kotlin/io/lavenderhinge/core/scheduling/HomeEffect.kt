package io.lavenderhinge.core.scheduling

/** Message from a home to the entry [entryId] about the grant request [grantRequestId]. */
sealed interface HomeEffect {
    val entryId: String
    val grantRequestId: String

    /**
     * The entry may dispatch the request now. [cachedPrefixTokens] is the home's estimate of the
     * prompt tokens in the server's prefix cache.
     */
    data class Grant(
        override val entryId: String,
        override val grantRequestId: String,
        val cachedPrefixTokens: Int,
    ) : HomeEffect

    /** The request is queued. */
    data class Queued(
        override val entryId: String,
        override val grantRequestId: String,
        val expectedWaitMillis: Long,
    ) : HomeEffect

    /**
     * The request was refused and nothing was executed. [lowerTierCount] is the number of requests
     * of lower tiers that this home has queued or in service.
     */
    data class Refuse(
        override val entryId: String,
        override val grantRequestId: String,
        val reason: RefusalReason,
        val expectedWaitMillis: Long,
        val lowerTierCount: Int,
    ) : HomeEffect

    /** The entry must suspend or cancel the request in service. */
    data class Preempt(override val entryId: String, override val grantRequestId: String) :
        HomeEffect
}
