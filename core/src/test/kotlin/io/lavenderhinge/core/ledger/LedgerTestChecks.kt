package io.lavenderhinge.core.ledger

import io.kotest.matchers.types.shouldBeInstanceOf

/** Tells whether [call] writes the head of a shard. */
internal fun isHeadWrite(call: StoreCall) = call is StoreCall.Write && call.key.endsWith("head")

/** Tells whether [message] reports that a request was recorded. */
internal fun isRecorded(message: LedgerMessage) =
    message is LedgerMessage.Reply && message.outcome is LedgerOutcome.Recorded

/** Checks that [result] is a stored answer and returns its body. */
internal fun storedAnswer(result: LedgerResult?) =
    result.shouldBeInstanceOf<LedgerResult.Stored>().answer.body.decodeToString()

/** Checks that the outcome in [result] is unknown and returns the reason. */
internal fun unknownReason(result: LedgerResult?) =
    result.shouldBeInstanceOf<LedgerResult.Unknown>().reason

/** Checks that [result] states that nothing was run and returns the reason. */
internal fun notRunReason(result: LedgerResult?) =
    result.shouldBeInstanceOf<LedgerResult.NotRun>().reason
