package io.lavenderhinge.core.ledger

/** What happens to the ledger of one instance. */
sealed interface LedgerEvent {
    /** A request arrived; [ticket] names it in the effects and is unique on this instance. */
    data class Begin(val ticket: Long, val request: LedgerRequest) : LedgerEvent

    /** The caller no longer waits. Has no effect on an attempt that was dispatched. */
    data class Cancel(val ticket: Long) : LedgerEvent

    /** The dispatch asked for by [LedgerEffect.Dispatch] ended. */
    data class DispatchEnded(val ticket: Long, val outcome: DispatchOutcome) : LedgerEvent

    data class Received(val fromInstanceId: String, val message: LedgerMessage) : LedgerEvent

    data class StoreReplied(val result: StoreResult) : LedgerEvent

    /** The links to [instanceId] broke: messages sent to it may be lost. */
    data class LinkLost(val instanceId: String) : LedgerEvent

    /** The time of [LedgerNode.nextWakeMillis] has come. Early and late wakes do no harm. */
    data object Wake : LedgerEvent
}

/** What the shell of the ledger has to do. */
sealed interface LedgerEffect {
    data class Send(val toInstanceId: String, val message: LedgerMessage) : LedgerEffect

    data class CallStore(val call: StoreCall) : LedgerEffect

    /** Run the request's dispatch now; happens at most once for each ticket. */
    data class Dispatch(val ticket: Long) : LedgerEffect

    /** Tell the caller; happens exactly once for each ticket that was not cancelled. */
    data class Finish(val ticket: Long, val result: LedgerResult) : LedgerEffect

    /** Log [message]; [isError] marks a broken invariant. */
    data class Log(val message: String, val isError: Boolean) : LedgerEffect
}
