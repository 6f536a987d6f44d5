package io.lavenderhinge.instance.gateway

import io.lavenderhinge.core.forwarding.QuotaCharge

/**
 * Returns what a request was charged if it ends without having been sent to a server that may have
 * run it. An attempt counts as run unless its result proves the contrary, also if it is cancelled.
 */
internal class ChargeReturn(
    private val charge: QuotaCharge?,
    private val giveBack: (QuotaCharge) -> Boolean,
) {
    private var attemptsThatMayHaveRun = 0

    /** Records that the request is about to be sent to a server. */
    fun onAttempt() {
        attemptsThatMayHaveRun++
    }

    /** Records the [result] of an attempt. */
    fun onResult(result: AttemptResult) {
        if (result is AttemptResult.NotExecuted) attemptsThatMayHaveRun--
    }

    /** Called when the request is not sent any more; later calls have no effect. */
    fun onEnd() {
        if (charge != null && attemptsThatMayHaveRun == 0) giveBack(charge)
    }
}
