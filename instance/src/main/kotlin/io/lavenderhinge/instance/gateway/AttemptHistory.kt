package io.lavenderhinge.instance.gateway

import io.lavenderhinge.core.forwarding.ForwardRoute
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentSetOf

/**
 * The attempts of one request so far, which determine whether it may be sent again.
 *
 * A request that may have been executed is sent again only if its route allows that and has servers
 * left. Servers that did not execute it do not count against the route's limit. Their number is
 * limited as well unless a stream has begun: its client cannot get the rest in another way.
 */
internal class AttemptHistory(private val route: ForwardRoute) {
    private var executedCount = 0
    private var notExecutedCount = 0

    private var refusedServers: PersistentSet<String> = persistentSetOf()

    /** Ids of the servers that were tried, except for forgotten refusals. */
    var triedServers: PersistentSet<String> = persistentSetOf()
        private set

    /** True if a server was lost before it had answered the request. */
    var hasLostServer = false
        private set

    /** The last error response of a server; null if there was none. */
    var failureResponse: AttemptResult.Response? = null
        private set

    /** True if a server may have executed the request. */
    val mayHaveExecuted: Boolean
        get() = executedCount > 0

    /** True if the request may be sent again after one more server has failed. */
    val allowsFailure: Boolean
        get() = route.isRetryable && executedCount + 1 < route.maxServers

    /**
     * Returns true if the request may be sent to another server that may not execute it, given that
     * the client has received a part of the response if [hasBegun].
     */
    fun allowsRefusal(hasBegun: Boolean): Boolean = hasBegun || notExecutedCount <= MAX_NOT_EXECUTED

    /**
     * Records the [result] of [serverId]; returns true if another server may be tried, given that
     * the client has received a part of the response if [hasBegun].
     */
    fun record(result: AttemptResult, serverId: String, hasBegun: Boolean): Boolean {
        triedServers = triedServers.add(serverId)
        return when (result) {
            is AttemptResult.Delivered -> false
            is AttemptResult.NotExecuted -> {
                notExecutedCount++
                refusedServers = refusedServers.add(serverId)
                allowsRefusal(hasBegun)
            }
            is AttemptResult.Response -> {
                executedCount++
                if (result.isFailure) failureResponse = result
                result.isFailure && hasServersLeft()
            }
            is AttemptResult.OutcomeUnknown,
            is AttemptResult.Replaced -> {
                executedCount++
                hasLostServer = true
                hasServersLeft()
            }
        }
    }

    /** Makes the servers that did not execute the request available again. */
    fun forgetRefusals() {
        triedServers = triedServers.removeAll(refusedServers)
        refusedServers = persistentSetOf()
    }

    /** Records that [serverId] may have executed the request, though its answer is not used. */
    fun recordWithdrawn(serverId: String) {
        triedServers = triedServers.add(serverId)
        executedCount++
    }

    private fun hasServersLeft() = route.isRetryable && executedCount < route.maxServers

    private companion object {
        const val MAX_NOT_EXECUTED = 3
    }
}
