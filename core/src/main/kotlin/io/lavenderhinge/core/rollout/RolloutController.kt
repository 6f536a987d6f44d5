package io.lavenderhinge.core.rollout

/**
 * Drives the rollouts of one target, one at a time.
 *
 * Every instance runs a controller, and the lease lets at most one of them act. Compare-and-swap on
 * the record keeps a controller that wrongly believes it holds the lease from changing the rollout.
 */
class RolloutController(
    private val selfId: String,
    private val target: TeamTarget,
    private val budget: FalseAlarmBudget = FalseAlarmBudget(),
    factory: SequentialTestFactory = TwoSampleEvidence.factory,
) {
    private val lease = ControllerLease()
    private val recordCache = RecordCache(selfId)
    private val evaluator = RolloutEvaluator(factory)
    private val versionLoader = VersionLoader()
    private val publisher = StatementPublisher()
    private val flags = StopFlags()
    private var plans: List<RolloutPlan> = emptyList()
    private var isCandidate = false
    private var highestFencingNumber = 0L

    /** Records of the team as last read or written, by key. */
    val records: Map<String, StoredRecord>
        get() = recordCache.records

    private val targetRecords: List<StoredRecord>
        get() = recordCache.records.values.filter { it.record.plan.teamTarget == target }

    /** True while this instance holds the lease according to its own clock. */
    fun holdsLease(nowMillis: Long): Boolean = lease.isHeld(nowMillis)

    /** Handles [event] and returns the effects to execute. */
    fun on(event: ControllerEvent, nowMillis: Long): List<ControllerEffect> {
        when (event) {
            ControllerEvent.Tick -> return tick(nowMillis)
            is ControllerEvent.PlansUpdated -> plans = event.plans
            is ControllerEvent.Candidacy -> isCandidate = event.candidate
            is ControllerEvent.LeaseGranted -> onLeaseGranted(event, nowMillis)
            ControllerEvent.LeaseRefused -> lease.onLost(nowMillis)
            ControllerEvent.LeaseCallFailed -> Unit
            is ControllerEvent.RecordsRead -> onRecordsRead(event, nowMillis)
            is ControllerEvent.RecordWritten -> recordCache.onWritten(event)
            ControllerEvent.WriteUnconfirmed -> recordCache.requireRead()
            ControllerEvent.StoreUnavailable -> recordCache.abandonCall()
            is ControllerEvent.WeightsChecked -> versionLoader.onWeightsChecked(event)
            is ControllerEvent.ServersUpdated -> versionLoader.updateServers(event.servers)
            is ControllerEvent.VersionLoaded -> versionLoader.onLoaded(event)
            is ControllerEvent.Fenced -> onFenced(event)
            is ControllerEvent.StatsReceived -> evaluator.add(event.report)
            is ControllerEvent.StopFlagsReceived -> flags.merge(event.flags)
        }
        updateEvaluator()
        return emptyList()
    }

    private fun tick(nowMillis: Long): List<ControllerEffect> {
        updateEvaluator()
        evaluator.evaluateBlocks(nowMillis)
        val effects = mutableListOf<ControllerEffect>()
        lease.dueCall(nowMillis, mayAcquire = isCandidate && hasWork())?.let(effects::add)
        effects += if (lease.isHeld(nowMillis)) drive(nowMillis) else evaluateWithoutLease()
        return effects
    }

    private fun onLeaseGranted(event: ControllerEvent.LeaseGranted, nowMillis: Long) {
        if (!lease.isHeld(nowMillis)) recordCache.requireRead()
        lease.onGranted(event)
    }

    private fun onRecordsRead(event: ControllerEvent.RecordsRead, nowMillis: Long) {
        if (recordCache.onRead(event.records)) lease.onLost(nowMillis)
    }

    private fun onFenced(event: ControllerEvent.Fenced) {
        highestFencingNumber = maxOf(highestFencingNumber, event.currentFencingNumber)
        recordCache.requireRead()
    }

    private fun hasWork(): Boolean =
        RolloutQueue.nextAction(target, plans, recordCache.records) != RolloutQueue.Action.Idle ||
            stoppedAfterDone() != null

    private fun stoppedAfterDone(): StoredRecord? =
        targetRecords.firstOrNull {
            it.record.phase == RolloutPhase.DONE && flags.find(it.record.plan.rolloutId) != null
        }

    private fun updateEvaluator() {
        val current =
            RolloutQueue.inProgress(target, recordCache.records)?.record
                ?: targetRecords.maxByOrNull { it.record.stepSinceMillis }?.record
                ?: return
        evaluator.follow(current, isController = current.controllerId == selfId)
    }

    private fun drive(nowMillis: Long): List<ControllerEffect> {
        if (recordCache.isCallPending(nowMillis)) return emptyList()
        if (recordCache.startDueRead(nowMillis)) return listOf(ControllerEffect.ReadRecords)
        stoppedAfterDone()?.let {
            return advance(it, it.record.plan, nowMillis)
        }
        return when (val action = RolloutQueue.nextAction(target, plans, recordCache.records)) {
            is RolloutQueue.Action.Continue -> advance(action.stored, action.declared, nowMillis)
            is RolloutQueue.Action.Start -> listOf(start(action, nowMillis))
            RolloutQueue.Action.Idle -> emptyList()
        } + publisher.waiting(plans, targetRecords, nowMillis)
    }

    private fun start(action: RolloutQueue.Action.Start, nowMillis: Long): ControllerEffect {
        val record =
            RolloutRecord(
                plan = action.plan,
                phase = RolloutPhase.PLANNED,
                startedAtMillis = nowMillis,
                stepSinceMillis = nowMillis,
                controllerCount = 1,
                fencingBase = targetRecords.maxOfOrNull { it.fencingNumber } ?: 0,
            )
        return recordCache.startWrite(record, action.replaces?.version ?: 0, nowMillis)
    }

    private fun advance(
        stored: StoredRecord,
        declared: RolloutPlan?,
        nowMillis: Long,
    ): List<ControllerEffect> {
        val record = stored.record
        if (record.controllerId != selfId) {
            val claimed = record.copy(controllerCount = record.controllerCount + 1)
            return listOf(recordCache.startWrite(claimed, stored.version, nowMillis))
        }
        // An engine has seen a higher fencing number. Raising the base above it is safe: the
        // compare-and-swap succeeds only if no other controller has taken over.
        if (highestFencingNumber >= stored.fencingNumber) {
            val lifted = record.copy(fencingBase = highestFencingNumber)
            return listOf(recordCache.startWrite(lifted, stored.version, nowMillis))
        }
        versionLoader.selectVersion(record.plan.toVersion)
        val input = decisionInput(record)
        return when (val decision = RolloutRules.decide(record, declared, input, nowMillis)) {
            is RolloutDecision.Change -> applyChange(stored, decision.record, nowMillis)
            is RolloutDecision.Wait -> waitEffects(stored, input, decision.reason, nowMillis)
        }
    }

    private fun applyChange(
        stored: StoredRecord,
        next: RolloutRecord,
        nowMillis: Long,
    ): List<ControllerEffect> {
        val write = recordCache.startWrite(next, stored.version, nowMillis)
        val evidence = next.evidence
        if (evidence?.reason != UndoReason.TEST) return listOf(write)
        return raiseStopFlag(next.plan, evidence.detail) + write
    }

    private fun waitEffects(
        stored: StoredRecord,
        input: DecisionInput,
        reason: String,
        nowMillis: Long,
    ): List<ControllerEffect> {
        val record = stored.record
        val progress = ControllerProgress(reason, input.strongest)
        val effects = mutableListOf<ControllerEffect>()
        if (record.phase == RolloutPhase.PLANNED) {
            versionLoader.dueWeightCheck(nowMillis)?.let(effects::add)
        } else if (!record.phase.terminal) {
            effects += versionLoader.dueLoadOrders(stored.fencingNumber, nowMillis)
        }
        return effects + publisher.progress(record, progress, nowMillis)
    }

    private fun evaluateWithoutLease(): List<ControllerEffect> {
        val record =
            targetRecords.firstOrNull { it.record.phase == RolloutPhase.MOVING }?.record
                ?: return emptyList()
        if (flags.find(record.plan.rolloutId) != null) return emptyList()
        val input = decisionInput(record)
        val evidence = input.combinedEvidence ?: return emptyList()
        if (evidence.logEvidence < input.logThreshold) return emptyList()
        return raiseStopFlag(record.plan, input.strongest ?: "all routes together")
    }

    private fun raiseStopFlag(plan: RolloutPlan, detail: String): List<ControllerEffect> {
        val evidence = "all instances together: $detail"
        val flag = StopFlag(target.target.name, plan.toVersion, plan.rolloutId, evidence)
        return flags.merge(listOf(flag)).map { ControllerEffect.RaiseStopFlag(it) }
    }

    private fun decisionInput(record: RolloutRecord): DecisionInput {
        val earlierControllers =
            if (record.controllerId == selfId) record.controllerCount - 1
            else record.controllerCount
        return DecisionInput(
            flags = flags,
            combinedEvidence = evaluator.combinedEvidence,
            stepTotals = evaluator.stepTotals,
            readyServers = versionLoader.readyServers,
            requiredServers = versionLoader.requiredServers(record.plan),
            weightsPresent = versionLoader.weightsPresent,
            logThreshold = budget.controllerLogThreshold(earlierControllers),
        )
    }
}
