package io.lavenderhinge.core.quarantine

import io.lavenderhinge.core.ServerRun

/** A run that ended with unanswered requests, as seen by one instance. */
data class CrashReport(
    val run: ServerRun,
    val service: String,
    val ageMillis: Long,
    /** Parts of the prompts in flight that may have caused it, most shared first. */
    val suspects: List<SuspectKey>,
)

/** An event that concerns one suspect, [ageMillis] ago. */
data class SuspectReport(val key: SuspectKey, val ageMillis: Long)

/**
 * What an instance reports to its peers about crashes of servers. All lists are bounded, whatever
 * the size of the fleet, since an instance reports only what it has observed itself.
 */
data class QuarantineReport(
    val crashes: List<CrashReport> = emptyList(),
    /** Suspects that a server has answered completely. */
    val answered: List<SuspectReport> = emptyList(),
    /** Parts that this instance has quarantined. */
    val quarantined: List<SuspectReport> = emptyList(),
    /** Runs that peers consider crashed and that still respond. */
    val alive: List<ServerRun> = emptyList(),
)
