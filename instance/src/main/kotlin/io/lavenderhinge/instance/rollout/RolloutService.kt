package io.lavenderhinge.instance.rollout

import io.lavenderhinge.core.rollout.ControllerCandidates
import io.lavenderhinge.core.rollout.ControllerEffect
import io.lavenderhinge.core.rollout.ControllerEvent
import io.lavenderhinge.core.rollout.RequestOutcome
import io.lavenderhinge.core.rollout.RolloutIntervals
import io.lavenderhinge.core.rollout.RolloutPlan
import io.lavenderhinge.core.rollout.ServerVersion
import io.lavenderhinge.core.rollout.StopFlag
import io.lavenderhinge.core.rollout.StopFlags
import io.lavenderhinge.core.rollout.TeamTarget
import io.lavenderhinge.core.rollout.VersionSplit
import io.lavenderhinge.instance.caller.Versions
import io.lavenderhinge.instance.control.ControlThread
import io.lavenderhinge.protocol.v1.Frame
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.slf4j.LoggerFactory

/**
 * Runs rollouts on one instance: selects versions, collects statistics, distributes stop flags and
 * runs the controller of each target.
 */
class RolloutService(private val ports: RolloutPorts, private val control: ControlThread) :
    Versions {
    private val selfId = ports.links.selfId

    // Reported counts must never decrease, so a restarted instance reports under a new id.
    private val statisticsId = "$selfId@${control.nowMillis()}"
    private val flags = StopFlags()
    private val rollouts = LinkedHashMap<TeamTarget, TargetRollout>()
    private val executors = HashMap<TeamTarget, EffectExecutor>()
    private val intervals = RolloutIntervals()
    private var nextReadMillis = 0L

    @Volatile private var choices: Map<TeamTarget, VersionChoice> = emptyMap()

    @Volatile private var statements: Map<String, String> = emptyMap()

    /** Starts the periodic work on the control thread. */
    fun start() {
        registerFrameHandler()
        control.every(TICK_PERIOD_MILLIS) { tick() }
        control.every(GOSSIP_PERIOD_MILLIS) { gossip(flags.all, peers = 1) }
    }

    internal fun registerFrameHandler() =
        ports.links.onFrame { from, frame -> onFrame(from, frame) }

    /**
     * The version for [requestId], or null if the settings do not declare [target]. May be called
     * on any thread. A request id keeps its version while the share is unchanged.
     */
    override fun versionFor(target: TeamTarget, requestId: String): String? {
        val choice = choices[target] ?: return null
        return choice.split?.versionFor(requestId) ?: choice.version
    }

    /** Counts an outcome. May be called on any thread. */
    override fun observe(
        target: TeamTarget,
        route: String,
        version: String,
        outcome: RequestOutcome,
    ) {
        if (choices[target]?.split == null) return
        control.execute { rollouts[target]?.observe(route, version, outcome) }
    }

    /**
     * One status statement for each declared rollout, by `team/name`. May be called on any thread.
     */
    fun statements(): Map<String, String> = statements

    /**
     * Applies new settings immediately, on the control thread. Otherwise requests to a newly
     * declared target would have no version until the next tick.
     */
    fun settingsChanged() {
        applySettings(ports.liveInstances(), control.nowMillis())
        refreshSnapshots()
    }

    /** Runs one round of the periodic work, on the control thread. */
    internal fun tick() {
        val nowMillis = control.nowMillis()
        val live = ports.liveInstances()
        applySettings(live, nowMillis)
        if (nowMillis >= nextReadMillis && rollouts.values.any { it.needsRecords() }) {
            nextReadMillis = nowMillis + intervals.readPeriodMillis(live.size)
            // Not awaited, so that a slow platform does not delay evaluation and stop flags.
            control.scope.launch { withTimeoutOrNull(READ_TIMEOUT_MILLIS) { readRecords() } }
        }
        for (rollout in rollouts.values.toList()) {
            rollout.evaluate(nowMillis)?.let { addStopFlag(it) }
            report(rollout, live, nowMillis)
            runController(rollout, live)
        }
        refreshSnapshots()
    }

    private fun applySettings(live: List<String>, nowMillis: Long) {
        val plans =
            ports
                .settings()
                .teams
                .values
                .flatMap { team -> team.rollouts.map { RolloutPlan.of(team.team, it) } }
                .groupBy { it.teamTarget }
        for (target in plans.keys) {
            rollouts.getOrPut(target) { TargetRollout(target, selfId, statisticsId, flags) }
        }
        for (rollout in rollouts.values) {
            rollout.update(plans[rollout.target].orEmpty(), live.size, nowMillis)
        }
    }

    private suspend fun readRecords() {
        for ((team, teamRollouts) in
            rollouts.values.filter { it.needsRecords() }.groupBy { it.target.team }) {
            val read = EffectExecutor.readRecords(ports, team)
            if (read !is ControllerEvent.RecordsRead) continue
            teamRollouts.forEach { it.on(read, control.nowMillis()) }
        }
        applySettings(ports.liveInstances(), control.nowMillis())
        refreshSnapshots()
    }

    private fun report(rollout: TargetRollout, live: List<String>, nowMillis: Long) {
        val statistics = rollout.reportableStatistics() ?: return
        val controllerId = rollout.inProgress()?.controllerId ?: return
        if (nowMillis < rollout.nextReportMillis) return
        val frame = RolloutFrames.statsFrame(statistics.report(), statistics.plan)
        rollout.nextReportMillis =
            nowMillis + intervals.reportPeriodMillis(live.size, frame.serializedSize)
        ports.links.send(controllerId, frame)
    }

    private fun runController(rollout: TargetRollout, live: List<String>) {
        val nowMillis = control.nowMillis()
        val servers =
            ports.servers(rollout.target).map {
                ServerVersion(it.id, it.version, it.engine != null)
            }
        val candidate = ControllerCandidates.isCandidate(selfId, live, rollout.target)
        rollout.on(ControllerEvent.PlansUpdated(rollout.plans), nowMillis)
        rollout.on(ControllerEvent.Candidacy(candidate), nowMillis)
        rollout.on(ControllerEvent.ServersUpdated(servers), nowMillis)
        rollout.on(ControllerEvent.StopFlagsReceived(flags.all), nowMillis)
        for (effect in rollout.on(ControllerEvent.Tick, nowMillis)) execute(rollout, effect)
    }

    private fun execute(rollout: TargetRollout, effect: ControllerEffect) {
        if (effect is ControllerEffect.RaiseStopFlag) return addStopFlag(effect.flag)
        if (effect is ControllerEffect.PublishStatement) {
            rollout.setStatement(effect.plan, effect.statement)
        }
        val executor =
            executors.getOrPut(rollout.target) {
                EffectExecutor(ports, rollout.target, control::nowMillis)
            }
        control.scope.launch {
            val answer = executor.execute(effect) ?: return@launch
            rollout.on(answer, control.nowMillis())
        }
    }

    private fun addStopFlag(flag: StopFlag) = addStopFlags(listOf(flag))

    private fun addStopFlags(stopFlags: List<StopFlag>) {
        val added = flags.merge(stopFlags)
        if (added.isEmpty()) return
        added.forEach { log.warn("rollout: {} stopped: {}", it.rolloutId, it.evidence) }
        refreshSnapshots()
        gossip(added, GOSSIP_FAN_OUT)
    }

    private fun gossip(known: List<StopFlag>, peers: Int) {
        if (known.isEmpty()) return
        val others = ports.liveInstances().filter { it != selfId }.shuffled(control.random)
        val frame = RolloutFrames.stopFlagsFrame(known)
        others.take(peers).forEach { ports.links.send(it, frame) }
    }

    private fun onFrame(fromInstanceId: String, frame: Frame) {
        if (frame.bodyCase != Frame.BodyCase.VERSION_STATS) {
            return addStopFlags(RolloutFrames.stopFlagsOf(frame))
        }
        val stats = frame.versionStats
        log.debug("rollout: statistics of {} from {}", stats.rolloutId, fromInstanceId)
        for (rollout in rollouts.values) {
            val plan = rollout.inProgress()?.plan ?: continue
            if (plan.rolloutId != stats.rolloutId) continue
            rollout.on(
                ControllerEvent.StatsReceived(RolloutFrames.statsReport(stats, plan)),
                control.nowMillis(),
            )
        }
    }

    private fun refreshSnapshots() {
        val next = HashMap<TeamTarget, VersionChoice>()
        for (team in ports.settings().teams.values) {
            for (settings in team.targets) {
                val target = TeamTarget(team.team, settings.target)
                next[target] = VersionChoice(settings.version, rollouts[target]?.split())
            }
        }
        choices = next
        statements =
            rollouts.values.fold(emptyMap()) { all, rollout ->
                all + rollout.statements(control.nowMillis())
            }
    }

    private class VersionChoice(val version: String, val split: VersionSplit?)

    private companion object {
        const val TICK_PERIOD_MILLIS = 1_000L
        const val GOSSIP_PERIOD_MILLIS = 5_000L
        const val READ_TIMEOUT_MILLIS = 5_000L

        /** A flag reaches 320 instances in about five hops with this fan-out. */
        const val GOSSIP_FAN_OUT = 4
        val log = LoggerFactory.getLogger(RolloutService::class.java)
    }
}
