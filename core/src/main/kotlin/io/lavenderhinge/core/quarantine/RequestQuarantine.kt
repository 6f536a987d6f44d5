package io.lavenderhinge.core.quarantine

import io.lavenderhinge.core.LruMap
import io.lavenderhinge.core.ServerRun
import kotlin.random.Random

/**
 * Finds prompt parts and repeated requests that crash the servers which answer them, and keeps
 * requests with these parts away from the servers.
 *
 * A broken connection alone tells nothing about its cause: servers crash for other reasons, and a
 * crash also breaks the requests that happened to be in flight. A part is therefore quarantined
 * only when [MIN_CRASHES] runs of servers have ended with it in flight, no server has answered it
 * meanwhile or within [CONFIRMATION_MILLIS] after that, and other prompts are answered. Every
 * complete answer clears the parts of its prompt. A crash that a quarantined part explains does not
 * count against other parts. A request as a whole is treated like a part that comes after the
 * others of its prompt. Since it consists of parts, the crashes that it explains still count
 * against them once there is a crash without it.
 *
 * Each instance sees few of the crashes, so all exchange what they have observed with
 * [QuarantineReport]s. Not thread-safe. Times are milliseconds on the monotonic clock.
 */
class RequestQuarantine(private val random: Random = Random.Default) {
    private class Quarantine(val sinceMillis: Long) {
        var trialPauseMillis = FIRST_TRIAL_MILLIS
        var trialMillis = sinceMillis + FIRST_TRIAL_MILLIS
    }

    private val evidence = CrashEvidence(EVIDENCE_MILLIS)
    private val answered = LruMap<SuspectKey, Long>(MAX_ANSWERED)
    private val serviceAnsweredMillis = HashMap<String, Long>()
    private val quarantined = LinkedHashMap<SuspectKey, Quarantine>()
    /** Parts that peers have quarantined, with the time of the last report of it. */
    private val quarantinedAtPeers = LruMap<SuspectKey, Long>(MAX_QUARANTINED)
    private val reporter = QuarantineReporter(evidence)

    /** Increases with each quarantine, so that queued requests are checked again. */
    var revision = 0
        private set

    /** Called with each change of the quarantine by this instance, for the log. */
    var onChange: (QuarantineChange) -> Unit = {}

    /** True if nothing is quarantined or suspected, as nearly always. */
    val isIdle: Boolean
        get() = quarantined.isEmpty() && quarantinedAtPeers.isEmpty() && evidence.crashes.isEmpty()

    /**
     * Decides on a request to [service] with [content]. [hasLostServer] is true if a server was
     * lost under the request already. Of all [peerCount] + 1 instances, one admits a request with a
     * quarantined content now and then, to learn whether servers answer it by now.
     */
    fun decide(
        service: String,
        content: RequestContent,
        hasLostServer: Boolean,
        peerCount: Int,
        nowMillis: Long,
    ): QuarantineDecision {
        evaluate(nowMillis)
        val quarantinedContent = quarantinedIn(service, content)
        if (quarantinedContent != null) {
            val isTrial = takeTrial(quarantinedContent.key(service), peerCount, nowMillis)
            return if (isTrial) QuarantineDecision.Admit
            else QuarantineDecision.Quarantined(quarantinedContent)
        }
        if (!hasLostServer) return QuarantineDecision.Admit
        return content.suspects
            .find { evidence.countWithoutCause(it.key(service)) >= MIN_CRASHES_FOR_REPEAT }
            ?.let(QuarantineDecision::Suspected) ?: QuarantineDecision.Admit
    }

    /** Returns what of [content] is quarantined, or null. */
    fun quarantinedIn(service: String, content: RequestContent): CrashSuspect? =
        content.all.find {
            val key = it.key(service)
            key in quarantined || key in quarantinedAtPeers
        }

    private fun takeTrial(key: SuspectKey, peerCount: Int, nowMillis: Long): Boolean {
        val quarantine = quarantined[key] ?: return false
        if (nowMillis < quarantine.trialMillis) return false
        quarantine.trialPauseMillis *= TRIAL_PAUSE_FACTOR
        quarantine.trialMillis = nowMillis + quarantine.trialPauseMillis
        return random.nextInt(peerCount + 1) == 0
    }

    /** Records that [run] ended before it had answered a request with [content]. */
    fun onCrash(run: ServerRun, service: String, content: RequestContent, nowMillis: Long) {
        val crashedMillis = evidence[run]?.crashedMillis ?: nowMillis
        val suspects =
            content.suspects
                .mapIndexed { position, suspect -> suspect.key(service) to position }
                .filterNot { (key, _) -> isProven(key, crashedMillis) }
        if (suspects.isEmpty()) return
        val crash = evidence.crashOf(run, service, nowMillis)
        suspects.forEach { (key, position) ->
            evidence.suspect(crash, key, position)
            crash.ownSuspects += key
        }
        reporter.onNews()
        evaluate(nowMillis)
    }

    /** Records that a server has answered a request with [content] completely. */
    fun onAnswered(service: String, content: RequestContent, nowMillis: Long) {
        serviceAnsweredMillis[service] = nowMillis
        content.all.forEach { answeredContent ->
            val key = answeredContent.key(service)
            answered[key] = nowMillis
            if (evidence.isSuspected(key) || key in quarantined || key in quarantinedAtPeers) {
                reporter.onCleared(key, nowMillis)
                clear(key, nowMillis, nowMillis)
            }
        }
    }

    /**
     * Records that [run] has sent data for a request of [sentMillis]. If it was considered crashed,
     * only some of its connections broke. Requests that were sent long after the crash do not
     * count, because a restarted server may have kept its id.
     */
    fun onActivity(run: ServerRun, sentMillis: Long, nowMillis: Long) {
        val crash = evidence[run] ?: return
        val isSameRun = sentMillis < crash.crashedMillis + MIN_RESTART_MILLIS
        if (!isSameRun || nowMillis <= crash.crashedMillis + IN_TRANSIT_MILLIS) return
        reporter.onAlive(run, nowMillis)
        remove(run, nowMillis)
    }

    /** Applies the [report] of a peer. */
    fun onPeerReport(report: QuarantineReport, nowMillis: Long) {
        report.answered.forEach { (key, ageMillis) ->
            val answeredMillis = nowMillis - ageMillis
            answered.merge(key, answeredMillis, ::maxOf)
            clear(key, answeredMillis, nowMillis)
        }
        report.alive.forEach { remove(it, nowMillis) }
        report.crashes.forEach { onPeerCrash(it, nowMillis) }
        report.quarantined.forEach { (key, ageMillis) ->
            if (isProven(key, nowMillis - ageMillis)) {
                reporter.onCleared(key, answered.getValue(key))
            } else if (quarantinedAtPeers.put(key, nowMillis) == null) {
                revision++
            }
        }
        evaluate(nowMillis)
    }

    private fun onPeerCrash(report: CrashReport, nowMillis: Long) {
        if (reporter.isAlive(report.run)) return
        val crashedMillis = nowMillis - report.ageMillis
        val (proven, suspects) = report.suspects.partition { isProven(it, crashedMillis) }
        proven.forEach { reporter.onCleared(it, answered.getValue(it)) }
        if (suspects.isEmpty()) return
        val crash = evidence.crashOf(report.run, report.service, crashedMillis)
        suspects.forEach { evidence.suspect(crash, it, report.suspects.indexOf(it)) }
    }

    /** Returns the report for the peers, or null if nothing has to be reported now. */
    fun report(nowMillis: Long): QuarantineReport? {
        expire(nowMillis)
        evaluate(nowMillis)
        val own = quarantined.map { (key, it) -> SuspectReport(key, nowMillis - it.sinceMillis) }
        return reporter.report(own, nowMillis)
    }

    private fun expire(nowMillis: Long) {
        evidence.expire(nowMillis)
        val expired = quarantinedAtPeers.filterValues { nowMillis - it > PEER_QUARANTINE_MILLIS }
        expired.keys.forEach { key ->
            quarantinedAtPeers.remove(key)
            if (key !in quarantined) evidence.withdraw(key)
        }
    }

    private fun evaluate(nowMillis: Long) {
        quarantined.keys.forEach(evidence::explain)
        quarantinedAtPeers.keys.forEach(evidence::explain)
        while (true) {
            val confirmedMillis = nowMillis - CONFIRMATION_MILLIS
            val key = evidence.strongestSuspect(MIN_CRASHES, confirmedMillis) ?: return
            val crashes = evidence.unexplained(key)
            if (!areOthersAnswered(crashes)) return
            quarantine(key, crashes, nowMillis)
        }
    }

    private fun quarantine(key: SuspectKey, crashes: List<ServerCrash>, nowMillis: Long) {
        if (quarantined.size == MAX_QUARANTINED) release(quarantined.keys.first())
        quarantined[key] = Quarantine(nowMillis)
        evidence.explain(key)
        revision++
        reporter.onNews()
        onChange(QuarantineChange.Quarantined(key, crashes.map { it.run }))
    }

    // If no prompt is answered, the service itself is at fault and not a part.
    private fun areOthersAnswered(crashes: List<ServerCrash>): Boolean {
        val answeredMillis = serviceAnsweredMillis[crashes.first().service] ?: return false
        return answeredMillis >= crashes.minOf { it.crashedMillis } - SERVICE_PROOF_MILLIS
    }

    private fun isProven(key: SuspectKey, crashedMillis: Long): Boolean {
        val answeredMillis = answered[key] ?: return false
        return crashedMillis < answeredMillis + PROOF_MILLIS
    }

    private fun clear(key: SuspectKey, answeredMillis: Long, nowMillis: Long) {
        evidence.clear(key, answeredMillis + PROOF_MILLIS)
        quarantinedAtPeers.remove(key)
        val quarantine = quarantined[key]
        if (quarantine != null && isProven(key, quarantine.sinceMillis)) release(key)
        evaluate(nowMillis)
    }

    private fun remove(run: ServerRun, nowMillis: Long) {
        val cause = evidence[run]?.cause
        evidence.remove(run)
        if (cause == null || cause !in quarantined) return
        if (evidence.crashes.count { it.cause == cause } >= MIN_CRASHES) return
        release(cause)
        evaluate(nowMillis)
    }

    private fun release(key: SuspectKey) {
        quarantined.remove(key)
        evidence.withdraw(key)
        reporter.onNews()
        onChange(QuarantineChange.Released(key))
    }

    private companion object {
        const val MIN_CRASHES = 3
        /**
         * By then, peers have reported answers and responses that clear a part. Instances that have
         * just started know of none themselves.
         */
        const val CONFIRMATION_MILLIS = 250L
        /** A request that has lost a server already adds to the suspicion. */
        const val MIN_CRASHES_FOR_REPEAT = 2
        const val EVIDENCE_MILLIS = 600_000L
        /** A part that was answered so recently before a crash did not cause it. */
        const val PROOF_MILLIS = 30_000L
        const val SERVICE_PROOF_MILLIS = 2_000L
        /** No server is back so soon after a crash. */
        const val MIN_RESTART_MILLIS = 1_000L
        /** Data that a server sent before its crash arrives by then. */
        const val IN_TRANSIT_MILLIS = 100L
        /** Spans many reports. Peers that have no evidence of their own follow for this time. */
        const val PEER_QUARANTINE_MILLIS = 10_000L
        /** Each trial may crash a server. */
        const val FIRST_TRIAL_MILLIS = 600_000L
        const val TRIAL_PAUSE_FACTOR = 4
        const val MAX_QUARANTINED = 64
        /** Holds what is answered within [PROOF_MILLIS], each request and its parts. */
        const val MAX_ANSWERED = 8_192
    }
}
