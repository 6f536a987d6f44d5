package io.lavenderhinge.instance.rollout

import io.lavenderhinge.core.rollout.MoverCandidates
import io.lavenderhinge.core.rollout.MoverEffect
import io.lavenderhinge.core.rollout.MoverEvent
import io.lavenderhinge.core.rollout.RequestOutcome
import io.lavenderhinge.core.rollout.RolloutPace
import io.lavenderhinge.core.rollout.RolloutPlan
import io.lavenderhinge.core.rollout.ServerVersion
import io.lavenderhinge.core.rollout.StopFlag
import io.lavenderhinge.core.rollout.StopFlags
import io.lavenderhinge.core.rollout.TeamTarget
import io.lavenderhinge.core.rollout.VersionSplit
import io.lavenderhinge.instance.caller.VersionSelector
import io.lavenderhinge.instance.control.ControlThread
import io.lavenderhinge.protocol.v1.Frame
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.slf4j.LoggerFactory

/**
 * Runs rollouts on one instance: choice of version, statistics, stops and, when elected, the mover.
 */
class RolloutService(private val ports: RolloutPorts, private val control: ControlThread) :
    VersionSelector {
    private val selfId = ports.links.selfId

    // Counts only rise while an instance lives; a restarted one reports under another id.
    private val statisticsId = "$selfId@${control.nowMillis()}"
    private val flags = StopFlags()
    private val rollouts = LinkedHashMap<TeamTarget, TargetRollout>()
    private val shells = HashMap<TeamTarget, MoverShell>()
    private val pace = RolloutPace()
    private var nextReadMillis = 0L

    @Volatile private var choices: Map<TeamTarget, Choice> = emptyMap()

    @Volatile private var statements: Map<String, String> = emptyMap()

    /** Starts the periodic work on the control thread. */
    fun start() {
        listen()
        control.every(TICK_MILLIS) { tick() }
        control.every(SPREAD_MILLIS) { spread(flags.all, peers = 1) }
    }

    internal fun listen() = ports.links.onFrame { from, frame -> received(from, frame) }

    /**
     * The version that [requestId] is sent to, or null when the settings do not name [target]. May
     * be called on any thread; the same request id gets the same version while the share holds.
     */
    override fun versionFor(target: TeamTarget, requestId: String): String? {
        val choice = choices[target] ?: return null
        return choice.split?.versionFor(requestId) ?: choice.version
    }

    /** Counts an outcome. May be called on any thread. */
    override fun recordOutcome(
        target: TeamTarget,
        route: String,
        version: String,
        outcome: RequestOutcome,
    ) {
        if (choices[target]?.split == null) return
        control.execute { rollouts[target]?.observe(route, version, outcome) }
    }

    /**
     * One plain sentence for each declared rollout, by `team/name`. May be called on any thread.
     */
    fun statements(): Map<String, String> = statements

    /**
     * Takes new settings at once, on the control thread. Until then requests to a target that the
     * settings just named would have no version.
     */
    fun settingsChanged() {
        followSettings(ports.liveInstances(), control.nowMillis())
        publishChoices()
    }

    /** One round of the periodic work, on the control thread. */
    internal fun tick() {
        val nowMillis = control.nowMillis()
        val live = ports.liveInstances()
        followSettings(live, nowMillis)
        if (nowMillis >= nextReadMillis && rollouts.values.any { it.active() }) {
            nextReadMillis = nowMillis + pace.readPeriodMillis(live.size)
            // Not awaited: judging and stopping must not wait for a slow platform.
            control.scope.launch { withTimeoutOrNull(READ_TIMEOUT_MILLIS) { readRecords() } }
        }
        for (rollout in rollouts.values.toList()) {
            rollout.judge(nowMillis)?.let { raise(it) }
            report(rollout, live, nowMillis)
            move(rollout, live)
        }
        publishChoices()
    }

    private fun followSettings(live: List<String>, nowMillis: Long) {
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
            rollout.follow(plans[rollout.target].orEmpty(), live.size, nowMillis)
        }
    }

    private suspend fun readRecords() {
        for ((team, ofTeam) in rollouts.values.filter { it.active() }.groupBy { it.target.team }) {
            val read = MoverShell.readRecords(ports, team)
            if (read !is MoverEvent.RecordsRead) continue
            ofTeam.forEach { it.on(read, control.nowMillis()) }
        }
        followSettings(ports.liveInstances(), control.nowMillis())
        publishChoices()
    }

    private fun report(rollout: TargetRollout, live: List<String>, nowMillis: Long) {
        val statistics = rollout.reporting() ?: return
        val moverId = rollout.underWay()?.moverId ?: return
        if (nowMillis < rollout.nextReportMillis) return
        val frame = RolloutFrames.stats(statistics.report(), statistics.plan)
        rollout.nextReportMillis =
            nowMillis + pace.reportPeriodMillis(live.size, frame.serializedSize)
        ports.links.send(moverId, frame)
    }

    private fun move(rollout: TargetRollout, live: List<String>) {
        val nowMillis = control.nowMillis()
        val servers =
            ports.servers(rollout.target).map {
                ServerVersion(it.id, it.version, it.engine != null)
            }
        val candidate = MoverCandidates.isCandidate(selfId, live, rollout.target)
        rollout.on(MoverEvent.PlansInForce(rollout.plans), nowMillis)
        rollout.on(MoverEvent.Candidacy(candidate), nowMillis)
        rollout.on(MoverEvent.ServersSeen(servers), nowMillis)
        rollout.on(MoverEvent.Stopped(flags.all), nowMillis)
        for (effect in rollout.on(MoverEvent.Tick, nowMillis)) perform(rollout, effect)
    }

    private fun perform(rollout: TargetRollout, effect: MoverEffect) {
        if (effect is MoverEffect.RaiseStop) return raise(effect.flag)
        if (effect is MoverEffect.Publish) rollout.published(effect.plan, effect.statement)
        val shell =
            shells.getOrPut(rollout.target) {
                MoverShell(ports, rollout.target, control::nowMillis)
            }
        control.scope.launch {
            val answer = shell.execute(effect) ?: return@launch
            rollout.on(answer, control.nowMillis())
        }
    }

    private fun raise(flag: StopFlag) = learn(listOf(flag))

    private fun learn(found: List<StopFlag>) {
        val new = flags.merge(found)
        if (new.isEmpty()) return
        new.forEach { log.warn("rollout: {} stopped: {}", it.rolloutId, it.evidence) }
        publishChoices()
        spread(new, FAN_OUT)
    }

    private fun spread(known: List<StopFlag>, peers: Int) {
        if (known.isEmpty()) return
        val others = ports.liveInstances().filter { it != selfId }.shuffled(control.random)
        val frame = RolloutFrames.flags(known)
        others.take(peers).forEach { ports.links.send(it, frame) }
    }

    private fun received(fromInstanceId: String, frame: Frame) {
        if (frame.bodyCase != Frame.BodyCase.VERSION_STATS) {
            return learn(RolloutFrames.flagsOf(frame))
        }
        val stats = frame.versionStats
        log.debug("rollout: statistics of {} from {}", stats.rolloutId, fromInstanceId)
        for (rollout in rollouts.values) {
            val plan = rollout.underWay()?.plan ?: continue
            if (plan.rolloutId != stats.rolloutId) continue
            rollout.on(MoverEvent.Stats(RolloutFrames.report(stats, plan)), control.nowMillis())
        }
    }

    private fun publishChoices() {
        val next = HashMap<TeamTarget, Choice>()
        for (team in ports.settings().teams.values) {
            for (settings in team.targets) {
                val target = TeamTarget(team.team, settings.target)
                next[target] = Choice(settings.version, rollouts[target]?.split())
            }
        }
        choices = next
        statements =
            rollouts.values.fold(emptyMap()) { all, rollout ->
                all + rollout.statements(control.nowMillis())
            }
    }

    private class Choice(val version: String, val split: VersionSplit?)

    private companion object {
        const val TICK_MILLIS = 1_000L
        const val SPREAD_MILLIS = 5_000L
        const val READ_TIMEOUT_MILLIS = 5_000L

        /** A flag reaches 320 instances in about five hops of this fan-out. */
        const val FAN_OUT = 4
        val log = LoggerFactory.getLogger(RolloutService::class.java)
    }
}
