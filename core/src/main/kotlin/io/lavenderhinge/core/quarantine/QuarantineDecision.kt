package io.lavenderhinge.core.quarantine

import io.lavenderhinge.core.ServerRun

/** What the quarantine says about a request. */
sealed interface QuarantineDecision {
    /** Nothing of the request is known to crash servers. */
    data object Admit : QuarantineDecision

    /** Its [content] crashes the servers that answer it. */
    data class Quarantined(val content: CrashSuspect) : QuarantineDecision

    /** Its [content] is suspected, and the request has lost a server already. */
    data class Suspected(val content: CrashSuspect) : QuarantineDecision
}

/** A change of the quarantine on this instance, for the log. */
sealed interface QuarantineChange {
    val key: SuspectKey

    /** [runs] ended with [key] in flight. */
    data class Quarantined(override val key: SuspectKey, val runs: List<ServerRun>) :
        QuarantineChange

    /** A server has answered [key], or too few of the crashes remain. */
    data class Released(override val key: SuspectKey) : QuarantineChange
}
