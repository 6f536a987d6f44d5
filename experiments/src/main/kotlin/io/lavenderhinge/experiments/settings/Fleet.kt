package io.lavenderhinge.experiments.settings

import io.lavenderhinge.core.membership.MemberState
import io.lavenderhinge.core.membership.MembershipEffect
import io.lavenderhinge.core.port.ListedMember
import io.lavenderhinge.core.port.MemberKind
import io.lavenderhinge.core.settings.TeamSettings
import io.lavenderhinge.core.settings.TeamText
import kotlin.random.Random

/** All instances of a run. Records their observable events in [result]. */
internal class Fleet(private val plan: RunPlan) {
    val epochMillis = 1_796_000_000_000
    val queue = EventQueue()
    val platform = SimulatedPlatform(queue, plan)
    val instances = LinkedHashMap<String, SimulatedInstance>()
    val network = SimulatedNetwork(this, plan, Random(plan.seed + 1))
    val result = RunResult(plan)
    private val random = Random(plan.seed)
    private val activeRevisions = HashMap<String, HashMap<String, Long>>()
    private val leavingServers = HashSet<String>()
    private val stoppedInstances = HashSet<String>()
    private val leavingListedAtMillis = HashMap<String, Long>()

    val ids = (0 until plan.instances).map { "i-$it" }

    fun domainOf(id: String) = "d${id.removePrefix("i-").toInt() % plan.domains}"

    /** Starts or restarts [id]. */
    fun start(id: String) {
        activeRevisions[id] = HashMap()
        val seeds = ids.filter { it != id && domainOf(it) == domainOf(id) }.take(3)
        val seed = plan.seed * 1_000_003 + queue.nowMillis * 31 + id.hashCode()
        stoppedInstances -= id
        instances[id] = SimulatedInstance(id, domainOf(id), seeds, this, Random(seed))
        instances.getValue(id).start()
        publishMembers()
    }

    /** Stops [id]. A [silent] host disappears without closing its connections. */
    fun stop(id: String, silent: Boolean = false) {
        instances.getValue(id).alive = false
        stoppedInstances += id
        if (silent) network.silentHosts += id else network.closeConnections(id)
        publishMembers()
    }

    /** Marks [serverId] as leaving in the platform's list. */
    fun markServerLeaving(serverId: String) {
        leavingServers += serverId
        publishMembers()
        leavingListedAtMillis[serverId] = queue.nowMillis + SimulatedPlatform.LIST_LAG_MILLIS
    }

    fun changeSettings(team: String) {
        val revision = platform.revisionOf(team) + 1
        platform.put(teamText(team, revision))
        result.changes += SettingsChange(team, revision, queue.nowMillis)
    }

    fun teamText(team: String, revision: Long) =
        TeamText(team, revision, settingsText(team, revision))

    fun <T> timed(action: () -> T): T {
        val start = System.nanoTime()
        val value = action()
        result.processingNanos += System.nanoTime() - start
        return value
    }

    fun onActivated(instance: SimulatedInstance, settings: TeamSettings) {
        val revisions = activeRevisions.getValue(instance.id)
        val before = revisions[settings.team] ?: 0
        if (settings.revision <= before) result.revisionRegressions++
        revisions[settings.team] = settings.revision
        result.onActivated(instance, settings, queue.nowMillis)
    }

    fun onInstanceChanged(observer: SimulatedInstance, effect: MembershipEffect.InstanceChanged) {
        val observed = instances.getValue(effect.id)
        val isStopped = effect.id in stoppedInstances
        val sameDomain = observer.domain == observed.domain
        if (isStopped && effect.from == MemberState.LIVE && sameDomain) {
            result.onStopDetected(effect.id, queue.nowMillis)
        }
        val recentlyStarted = queue.nowMillis - observed.startedMillis < SETTLE_MILLIS
        val observerSettled =
            queue.nowMillis - observer.startedMillis > SETTLE_MILLIS && !recentlyStarted
        val reachable = network.connected(observer.domain, observed.domain)
        val duringOrAfterFault =
            queue.nowMillis in
                Scenario.FAULT_START_MILLIS..Scenario.FAULT_END_MILLIS + SETTLE_MILLIS
        val partitioned = plan.scenario == Scenario.DOMAIN_CUT && duringOrAfterFault
        val shouldBeLive = !isStopped && observerSettled && reachable && !partitioned
        if (shouldBeLive && effect.from == MemberState.LIVE) {
            if (sameDomain) result.falseSuspicionsInDomain++
            else result.falseSuspicionsAcrossDomains++
        }
    }

    fun onServerChanged(observer: SimulatedInstance, effect: MembershipEffect.ServerChanged) {
        val listedAtMillis = leavingListedAtMillis[effect.id] ?: return
        if (effect.to != MemberState.LEAVING || observer.table.homeOf(effect.id) != observer.id)
            return
        result.serverLeaveDetection.add(queue.nowMillis - listedAtMillis)
    }

    fun publishMembers() {
        val live =
            instances.values
                .filter { it.alive }
                .map {
                    ListedMember(it.id, MemberKind.INSTANCE, "10.0.0.1:9000", it.domain, "r", false)
                }
        val servers =
            (0 until plan.servers).map {
                val id = "s-$it"
                val domain = "d${it % plan.domains}"
                val kind = MemberKind.MODEL_ENGINE
                ListedMember(id, kind, "10.1.0.1:9", domain, "r", id in leavingServers, "m", "1")
            }
        platform.publish(live + servers)
    }

    fun randomLiveInstance(): SimulatedInstance =
        instances.values.filter { it.alive }.random(random)

    private companion object {
        const val SETTLE_MILLIS = 60_000L

        /** Four workspaces per team, the ratio of 1,200 teams to 4,800 workspaces. */
        fun settingsText(team: String, revision: Long): String {
            val workspaces =
                (1..4).joinToString("\n") { "[workspace.w$it]\ncredential = $team-key-$it" }
            return "[team]\nname = $team\n$workspaces\n[model.m]\nversion = $revision\n" +
                "[route.r]\npath = /v1/chat/completions\nmodel = m\n"
        }
    }
}
