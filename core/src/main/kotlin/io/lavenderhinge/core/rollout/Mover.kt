package io.lavenderhinge.core.rollout

/**
 * Moves the rollouts of one target, one at a time. Every instance has one; the lease makes at most
 * one of them act, and compare-and-swap on the record keeps a second one that believes it holds the
 * lease from deciding anything.
 */
class Mover(
    private val selfId: String,
    private val target: TeamTarget,
    private val budget: ErrorBudget = ErrorBudget(),
    factory: SequentialTestFactory = TwoSampleEvidence.factory,
) {
    private val lease = MoverLease()
    private val journal = MoverJournal(selfId)
    private val judge = MoverJudge(factory)
    private val warmUp = WarmUp()
    private val publisher = StatementPublisher()
    private val flags = StopFlags()
    private var plans: List<RolloutPlan> = emptyList()
    private var candidate = false
    private var fencedAt = 0L

    /** Records of the team as last read or written, by key. */
    val records: Map<String, StoredRecord>
        get() = journal.records

    private val ofTarget: List<StoredRecord>
        get() = journal.records.values.filter { it.record.plan.teamTarget == target }

    /** True while this instance holds the lease by its own clock. */
    fun holdsLease(nowMillis: Long): Boolean = lease.held(nowMillis)

    /** Takes [event] and returns what to do. */
    fun on(event: MoverEvent, nowMillis: Long): List<MoverEffect> {
        when (event) {
            MoverEvent.Tick -> return tick(nowMillis)
            is MoverEvent.PlansInForce -> plans = event.plans
            is MoverEvent.Candidacy -> candidate = event.candidate
            is MoverEvent.LeaseHeld -> leaseHeld(event, nowMillis)
            MoverEvent.LeaseRefused -> lease.lose(nowMillis)
            MoverEvent.LeaseUnanswered -> Unit
            is MoverEvent.RecordsRead -> recordsRead(event, nowMillis)
            is MoverEvent.Written -> journal.written(event)
            MoverEvent.WriteUndecided -> journal.readAgain()
            MoverEvent.StoreUnavailable -> journal.abandonCall()
            is MoverEvent.WeightsChecked -> warmUp.weightsChecked(event)
            is MoverEvent.ServersSeen -> warmUp.see(event.servers)
            is MoverEvent.Loaded -> warmUp.loaded(event)
            is MoverEvent.Fenced -> fenced(event)
            is MoverEvent.Stats -> judge.add(event.report)
            is MoverEvent.Stopped -> flags.merge(event.flags)
        }
        followRecord()
        return emptyList()
    }

    private fun tick(nowMillis: Long): List<MoverEffect> {
        followRecord()
        judge.closeBlocks(nowMillis)
        val effects = mutableListOf<MoverEffect>()
        lease.dueCall(nowMillis, mayClaim = candidate && hasWork())?.let(effects::add)
        effects += if (lease.held(nowMillis)) move(nowMillis) else observe()
        return effects
    }

    private fun leaseHeld(event: MoverEvent.LeaseHeld, nowMillis: Long) {
        if (!lease.held(nowMillis)) journal.readAgain()
        lease.grant(event)
    }

    private fun recordsRead(event: MoverEvent.RecordsRead, nowMillis: Long) {
        if (journal.read(event.records)) lease.lose(nowMillis)
    }

    private fun fenced(event: MoverEvent.Fenced) {
        fencedAt = maxOf(fencedAt, event.currentFencingNumber)
        journal.readAgain()
    }

    private fun hasWork(): Boolean =
        RolloutQueue.turn(target, plans, journal.records) != RolloutQueue.Turn.Idle ||
            doneButStopped() != null

    private fun doneButStopped(): StoredRecord? =
        ofTarget.firstOrNull {
            it.record.phase == RolloutPhase.DONE && flags.of(it.record.plan.rolloutId) != null
        }

    private fun followRecord() {
        val moving =
            RolloutQueue.underWay(target, journal.records)?.record
                ?: ofTarget.maxByOrNull { it.record.stepSinceMillis }?.record
                ?: return
        judge.follow(moving, own = moving.moverId == selfId)
    }

    private fun move(nowMillis: Long): List<MoverEffect> {
        if (journal.busy(nowMillis)) return emptyList()
        if (journal.takeReadDue(nowMillis)) return listOf(MoverEffect.ReadRecords)
        doneButStopped()?.let {
            return proceed(it, it.record.plan, nowMillis)
        }
        return when (val turn = RolloutQueue.turn(target, plans, journal.records)) {
            is RolloutQueue.Turn.Continue -> proceed(turn.stored, turn.declared, nowMillis)
            is RolloutQueue.Turn.Start -> listOf(start(turn, nowMillis))
            RolloutQueue.Turn.Idle -> emptyList()
        } + publisher.waiting(plans, ofTarget, nowMillis)
    }

    private fun start(turn: RolloutQueue.Turn.Start, nowMillis: Long): MoverEffect {
        val record =
            RolloutRecord(
                plan = turn.plan,
                phase = RolloutPhase.PLANNED,
                startedAtMillis = nowMillis,
                stepSinceMillis = nowMillis,
                movers = 1,
                fencingBase = ofTarget.maxOfOrNull { it.fencingNumber } ?: 0,
            )
        return journal.write(record, turn.replaces?.version ?: 0, nowMillis)
    }

    private fun proceed(
        stored: StoredRecord,
        declared: RolloutPlan?,
        nowMillis: Long,
    ): List<MoverEffect> {
        val record = stored.record
        if (record.moverId != selfId) {
            val claimed = record.copy(movers = record.movers + 1)
            return listOf(journal.write(claimed, stored.version, nowMillis))
        }
        // The compare-and-swap that this write needs proves that the mover was not replaced, so
        // that
        // lifting the number above what the engine has seen is safe.
        if (fencedAt >= stored.fencingNumber) {
            val lifted = record.copy(fencingBase = fencedAt)
            return listOf(journal.write(lifted, stored.version, nowMillis))
        }
        warmUp.prepare(record.plan.toVersion)
        val view = view(record)
        return when (val decision = MoverRules.decide(record, declared, view, nowMillis)) {
            is MoverDecision.Change -> change(stored, decision.record, nowMillis)
            is MoverDecision.Wait -> wait(stored, view, decision.reason, nowMillis)
        }
    }

    private fun change(
        stored: StoredRecord,
        next: RolloutRecord,
        nowMillis: Long,
    ): List<MoverEffect> {
        val write = journal.write(next, stored.version, nowMillis)
        val evidence = next.evidence
        if (evidence?.reason != UndoReason.TEST) return listOf(write)
        return raise(next.plan, evidence.detail) + write
    }

    private fun wait(
        stored: StoredRecord,
        view: MoverView,
        reason: String,
        nowMillis: Long,
    ): List<MoverEffect> {
        val record = stored.record
        val progress = MoverProgress(reason, view.strongest)
        val effects = mutableListOf<MoverEffect>()
        if (record.phase == RolloutPhase.PLANNED) {
            warmUp.dueWeightCheck(nowMillis)?.let(effects::add)
        } else if (!record.phase.terminal) {
            effects += warmUp.dueOrders(stored.fencingNumber, nowMillis)
        }
        return effects + publisher.progress(record, progress, nowMillis)
    }

    private fun observe(): List<MoverEffect> {
        val record =
            ofTarget.firstOrNull { it.record.phase == RolloutPhase.MOVING }?.record
                ?: return emptyList()
        if (flags.of(record.plan.rolloutId) != null) return emptyList()
        val view = view(record)
        val pool = view.pool ?: return emptyList()
        if (pool.logEvidence < view.logThreshold) return emptyList()
        return raise(record.plan, view.strongest ?: "all routes together")
    }

    private fun raise(plan: RolloutPlan, detail: String): List<MoverEffect> {
        val evidence = "all instances together: $detail"
        val flag = StopFlag(target.target.name, plan.toVersion, plan.rolloutId, evidence)
        return flags.merge(listOf(flag)).map { MoverEffect.RaiseStop(it) }
    }

    private fun view(record: RolloutRecord): MoverView {
        val earlier = if (record.moverId == selfId) record.movers - 1 else record.movers
        return MoverView(
            flags = flags,
            pool = judge.pool,
            inStep = judge.totals,
            readyServers = warmUp.ready,
            totalServers = warmUp.total(record.plan),
            weightsPresent = warmUp.weightsPresent,
            logThreshold = budget.moverLogThreshold(earlier),
        )
    }
}
