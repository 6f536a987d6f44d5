package io.lavenderhinge.core.forwarding

/** Decides about requests for which no server is left. */
internal class NoServerPolicy {
    /**
     * Returns the refusal of [request], or null if it waits: the servers of [pool] pause, and the
     * first one is back before its target time.
     */
    fun onNoServer(
        request: DispatchRequest,
        pool: ServerPool,
        nowMillis: Long,
    ): DispatchEffect.Refuse? {
        val availability = pool.availability
        val reopenMillis =
            availability.reopenMillis(request, nowMillis)
                ?: return availability.domainRefusal(request, nowMillis) ?: refuse(request)
        if (reopenMillis + pool.times.firstEventMillis(request) <= request.targetMillis) return null
        return DispatchEffect.Refuse(
            request.id,
            DispatchRefusal.PAUSED,
            reopenMillis - nowMillis,
            "the first server is back in ${reopenMillis - nowMillis} ms",
        )
    }

    /** Returns the refusal of [request] for lack of servers. */
    fun refuse(request: DispatchRequest) =
        DispatchEffect.Refuse(request.id, DispatchRefusal.NO_SERVER, RETRY_MILLIS)

    companion object {
        /** Time after which a client may find a server again. */
        const val RETRY_MILLIS = 300L
    }
}
