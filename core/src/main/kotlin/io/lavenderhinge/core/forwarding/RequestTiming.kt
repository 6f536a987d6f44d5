package io.lavenderhinge.core.forwarding

/**
 * The times by which a request of [route] needs a slot. Clients measure their patience from the
 * last event of a stream, so a stream that is resumed is as urgent as one that has just started.
 */
class RequestTiming(
    private val route: ForwardRoute,
    private val arrivedMillis: Long,
    private val deadline: RequestDeadline,
) {
    /** Time at which the client stops waiting, after the event of [lastEventMillis] if any. */
    fun patienceEndMillis(lastEventMillis: Long?): Long {
        val patienceMillis = route.patienceMillis ?: return deadline.endMillis
        return minOf(deadline.endMillis, (lastEventMillis ?: arrivedMillis) + patienceMillis)
    }

    /** Latest time at which the next event counts as on time. */
    fun targetMillis(lastEventMillis: Long?): Long =
        if (lastEventMillis == null) arrivedMillis + route.targetLatencyMillis
        else patienceEndMillis(lastEventMillis)
}
