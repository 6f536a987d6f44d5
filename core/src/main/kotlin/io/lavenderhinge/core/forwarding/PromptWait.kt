package io.lavenderhinge.core.forwarding

/**
 * How long a request may wait for a server that holds its prompt while others have free slots, or
 * be passed by requests whose prompts the free servers hold. The bound follows from the target of
 * the caller, so that nothing starves.
 */
internal object PromptWait {
    /**
     * The rest of the target is for the answer. With 0.4, every request had waited that long in a
     * lasting overload, so that slots were given in order of arrival again.
     */
    private const val TARGET_FRACTION = 0.8

    /** Returns the longest wait of [request] since its arrival. */
    fun maxMillis(request: DispatchRequest): Long =
        ((request.targetMillis - request.arrivedMillis) * TARGET_FRACTION).toLong()

    /** Returns true if [request] may still wait. */
    fun isAllowed(request: DispatchRequest, nowMillis: Long): Boolean =
        nowMillis - request.arrivedMillis < maxMillis(request)
}
