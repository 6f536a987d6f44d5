package io.lavenderhinge.instance.gateway

/** Evacuations of failure domains on the status page. Confined to the traffic thread. */
internal class EvacuationStatus(
    private val evacuations: EvacuationRegistry,
    private val allocator: SlotAllocator,
) {
    /** Returns the fields; an operator waits for the requests in flight to end. */
    fun fields(): Map<String, Any?> {
        val state = evacuations.state
        return mapOf(
            "known" to state.isKnown,
            "revision" to state.revision,
            "readRevision" to state.readRevision,
            "requested" to state.domains.sorted(),
            "inFlight" to allocator.inFlightIn(state.evacuatedDomains(monotonicMillis())),
        )
    }
}
