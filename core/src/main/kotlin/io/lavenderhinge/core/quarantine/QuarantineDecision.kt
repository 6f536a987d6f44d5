package io.lavenderhinge.core.quarantine

import io.lavenderhinge.core.ServerRun

/** What the quarantine says about a request. */
sealed interface QuarantineDecision {
    /** No part of the prompt is known to crash servers. */
    data object Admit : QuarantineDecision

    /** The part [partId] crashes the servers that answer it. */
    data class Quarantined(val partId: String) : QuarantineDecision

    /** The part [partId] is suspected, and the request has lost a server already. */
    data class Suspected(val partId: String) : QuarantineDecision
}

/** A change of the quarantine on this instance, for the log. */
sealed interface QuarantineChange {
    val part: PartKey

    /** [runs] ended with [part] in flight. */
    data class Quarantined(override val part: PartKey, val runs: List<ServerRun>) :
        QuarantineChange

    /** A server has answered [part], or too few of the crashes remain. */
    data class Released(override val part: PartKey) : QuarantineChange
}
