package io.lavenderhinge.core.forwarding

/** The rules that keep requests away from the servers of failure domains. */
internal class DomainRules(
    val evacuations: DomainEvacuations,
    /** Where requests that must stay in some regions may run. */
    var regions: RegionTable = RegionTable(),
) {
    /** Returns those of [servers] that accept work, in the regions that [request] allows. */
    fun accepting(servers: Collection<ServerRecord>, request: DispatchRequest): List<ServerRecord> =
        servers.filter {
            it.entry.acceptsWork && regions.allows(it.entry.failureDomain, request.allowedRegions)
        }

    /** Returns those of [servers] that accept work and to which [request] may still be sent. */
    fun untried(servers: Collection<ServerRecord>, request: DispatchRequest): List<ServerRecord> =
        accepting(servers, request).filter { it.entry.id !in request.excludedServers }

    /** Returns the refusal of [request] if one of the rules leaves none of [servers] for it. */
    fun refusal(
        servers: Collection<ServerRecord>,
        request: DispatchRequest,
        nowMillis: Long,
    ): DispatchEffect.Refuse? {
        val untried = untried(servers, request)
        return when {
            evacuations.hasEvacuated(untried, nowMillis) ->
                refuse(
                    request,
                    DispatchRefusal.EVACUATED,
                    "all servers left are in evacuated failure domains",
                )
            untried.isEmpty() &&
                untried(servers, request.copy(allowedRegions = null)).isNotEmpty() ->
                refuse(
                    request,
                    DispatchRefusal.NO_ALLOWED_REGION,
                    "no server left is in the allowed regions ${request.allowedRegions}",
                )
            else -> null
        }
    }

    private fun refuse(request: DispatchRequest, reason: DispatchRefusal, inputs: String) =
        DispatchEffect.Refuse(request.id, reason, RETRY_MILLIS, inputs)

    private companion object {
        /**
         * It takes seconds until an evacuation ends or servers come to a region, and a client that
         * returns at once is refused again.
         */
        const val RETRY_MILLIS = 1_000L
    }
}
