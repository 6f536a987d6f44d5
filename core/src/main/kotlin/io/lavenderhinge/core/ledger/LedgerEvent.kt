package io.lavenderhinge.core.ledger

/** An input of [LedgerNode]. */
sealed interface LedgerEvent {
    /**
     * A request arrived. [ticket] identifies it in later events and effects and is unique on this
     * instance.
     */
    data class Begin(val ticket: Long, val request: LedgerRequest) : LedgerEvent

    /** The caller has disconnected. Has no effect on an attempt that was dispatched. */
    data class Cancel(val ticket: Long) : LedgerEvent

    /** The dispatch requested by [LedgerEffect.Dispatch] has ended. */
    data class DispatchEnded(val ticket: Long, val outcome: DispatchOutcome) : LedgerEvent

    data class Received(val fromInstanceId: String, val message: LedgerMessage) : LedgerEvent

    data class StoreReplied(val result: StoreResult) : LedgerEvent

    /** The links to [instanceId] were lost; messages sent to it may not have arrived. */
    data class LinkLost(val instanceId: String) : LedgerEvent

    /** [LedgerNode.nextWakeMillis] has been reached. Early and late wake-ups are harmless. */
    data object Wake : LedgerEvent
}

/** An action that the caller of [LedgerNode] must perform. */
sealed interface LedgerEffect {
    data class Send(val toInstanceId: String, val message: LedgerMessage) : LedgerEffect

    data class CallStore(val call: StoreCall) : LedgerEffect

    /** Dispatch the request. Emitted at most once per ticket. */
    data class Dispatch(val ticket: Long) : LedgerEffect

    /** Return [result] to the caller. Emitted exactly once per ticket that was not cancelled. */
    data class Finish(val ticket: Long, val result: LedgerResult) : LedgerEffect

    /** Log [message]. [isError] is true for an invariant violation. */
    data class Log(val message: String, val isError: Boolean) : LedgerEffect
}
