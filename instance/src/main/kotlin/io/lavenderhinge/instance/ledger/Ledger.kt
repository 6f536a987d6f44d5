package io.lavenderhinge.instance.ledger

import io.lavenderhinge.core.ledger.DispatchOutcome
import io.lavenderhinge.core.ledger.LedgerRequest
import io.lavenderhinge.core.ledger.LedgerResult

/** Runs non-idempotent requests at most once. Safe to call from any thread. */
fun interface Ledger {
    /**
     * Reserves the key of [request] and runs [dispatch] once if the key is new.
     *
     * [dispatch] must return [DispatchOutcome.NeverSent] only if nothing was sent. An exception or
     * cancellation counts as [DispatchOutcome.Lost]. Cancelling the call before the dispatch
     * abandons the attempt.
     */
    suspend fun execute(
        request: LedgerRequest,
        dispatch: suspend () -> DispatchOutcome,
    ): LedgerResult
}
