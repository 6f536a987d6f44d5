package io.lavenderhinge.core.forwarding

/** The limit by which a request ends. */
enum class RequestLimit {
    /** The time that the client has stated. */
    CLIENT,
    /** The timeout of the route. */
    ROUTE,
}

/**
 * The time by which a request that arrived at [arrivedMillis] has to end: after the client's own
 * time, if it states one, or after the timeout of the route, whichever comes first.
 *
 * A timeout that is raised meanwhile holds for the request as well, since its client goes on
 * waiting. One that is lowered does not: the request was accepted with the longer time.
 */
class RequestDeadline(private val arrivedMillis: Long, clientMillis: Long?, timeoutMillis: Long) {
    private val clientEndMillis = clientMillis?.let { arrivedMillis + it } ?: Long.MAX_VALUE
    private var routeEndMillis = arrivedMillis + timeoutMillis

    /** The end of the request. */
    val endMillis: Long
        get() = minOf(clientEndMillis, routeEndMillis)

    /**
     * The end that is stated to a server, which stops working then: the client's own, or that of
     * the route if the client states none. A timeout that is raised meanwhile does not reach the
     * server.
     */
    val serverEndMillis: Long
        get() = if (clientEndMillis == Long.MAX_VALUE) routeEndMillis else clientEndMillis

    /** What ends the request at [endMillis]. */
    val limit: RequestLimit
        get() = if (clientEndMillis <= routeEndMillis) RequestLimit.CLIENT else RequestLimit.ROUTE

    /** Records that the timeout of the route is [timeoutMillis] now. */
    fun onTimeoutChanged(timeoutMillis: Long) {
        routeEndMillis = maxOf(routeEndMillis, arrivedMillis + timeoutMillis)
    }
}
