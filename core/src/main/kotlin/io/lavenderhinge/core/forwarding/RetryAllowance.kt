package io.lavenderhinge.core.forwarding

/** Tells whether one request may be sent again, by its route and the retry budget. */
interface RetryAllowance {
    /** Returns true if the request may be sent again now. */
    fun isAllowed(nowMillis: Long): Boolean

    /** Uses one retry of the budget; returns false if there is none left. */
    fun tryUse(nowMillis: Long): Boolean
}
