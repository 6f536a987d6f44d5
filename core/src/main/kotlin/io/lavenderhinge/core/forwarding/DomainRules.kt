package io.lavenderhinge.core.forwarding

/** The rules that keep requests away from failure domains. */
internal class DomainRules(
    val evacuations: DomainEvacuations,
    /** Where requests that must stay in some regions may run. */
    var regions: RegionTable = RegionTable(),
) {
    /** Returns those of [servers] that are in a region in which [request] may run. */
    fun inAllowedRegions(
        servers: Collection<ServerRecord>,
        request: DispatchRequest,
    ): List<ServerRecord> =
        servers.filter { regions.allows(it.entry.failureDomain, request.allowedRegions) }
}
