package io.lavenderhinge.core.scheduling

/** A message from a home to the entry [entryId] about the ask [askId]. */
sealed interface HomeEffect {
    val entryId: String
    val grantRequestId: String

    /**
     * The entry may dispatch now. [cachedPrefixTokens] is the home's estimate of the prefix hit.
     */
    data class Grant(
        override val entryId: String,
        override val grantRequestId: String,
        val cachedPrefixTokens: Int,
    ) : HomeEffect

    /** The ask waits. */
    data class Queued(
        override val entryId: String,
        override val grantRequestId: String,
        val expectedWaitMillis: Long,
    ) : HomeEffect

    /**
     * The ask is void and nothing was run. [lowerTierCount] is the number of requests of a lower
     * tier that this home has waiting or in service.
     */
    data class Refuse(
        override val entryId: String,
        override val grantRequestId: String,
        val reason: RefusalReason,
        val expectedWaitMillis: Long,
        val lowerTierCount: Int,
    ) : HomeEffect

    /** The entry must suspend or cancel this request in service. */
    data class Preempt(override val entryId: String, override val grantRequestId: String) :
        HomeEffect
}
