package io.lavenderhinge.experiments.settings

import io.lavenderhinge.core.membership.MemberState
import io.lavenderhinge.core.membership.MembershipEffect
import io.lavenderhinge.core.port.ListedMember
import io.lavenderhinge.core.port.MemberKind
import io.lavenderhinge.core.settings.TeamSettings
import io.lavenderhinge.core.settings.TeamText
import kotlin.random.Random

/** All instances of a run, and what is observed of them. */
internal class Fleet(private val plan: RunPlan) {
    val epochMillis = 1_796_000_000_000
    val queue = EventQueue()
    val platform = SimulatedPlatform(queue, plan)
    val instances = LinkedHashMap<String, SimulatedInstance>()
    val network = SimulatedNetwork(this, plan, Random(plan.seed + 1))
    val result = RunResult(plan)
    private val random = Random(plan.seed)
    private val inForce = HashMap<String, HashMap<String, Long>>()
    private val leavingServers = HashSet<String>()
    private val goneInstances = HashSet<String>()
    private val serverSeenMillis = HashMap<String, Long>()

    val ids = (0 until plan.instances).map { "i-$it" }

    fun domainOf(id: String) = "d${id.removePrefix("i-").toInt() % plan.domains}"

    /** Starts [id], or starts it anew. */
    fun start(id: String) {
        inForce[id] = HashMap()
        val seeds = ids.filter { it != id && domainOf(it) == domainOf(id) }.take(3)
        val seed = plan.seed * 1_000_003 + queue.nowMillis * 31 + id.hashCode()
        goneInstances -= id
        instances[id] = SimulatedInstance(id, domainOf(id), seeds, this, Random(seed))
        instances.getValue(id).start()
        publish()
    }

    /** Ends [id]; a [silent] host closes no connection. */
    fun stop(id: String, silent: Boolean = false) {
        instances.getValue(id).alive = false
        goneInstances += id
        if (silent) network.silent += id else network.closed(id)
        publish()
    }

    /** The platform begins to call [serverId] leaving. */
    fun leave(serverId: String) {
        leavingServers += serverId
        publish()
        serverSeenMillis[serverId] = queue.nowMillis + SimulatedPlatform.LIST_LAG_MILLIS
    }

    fun change(team: String) {
        val revision = platform.revisionOf(team) + 1
        platform.put(text(team, revision))
        result.changes += Change(team, revision, queue.nowMillis)
    }

    fun text(team: String, revision: Long) = TeamText(team, revision, settingsText(team, revision))

    fun <T> measured(action: () -> T): T {
        val start = System.nanoTime()
        val value = action()
        result.processorNanos += System.nanoTime() - start
        return value
    }

    fun onInForce(instance: SimulatedInstance, settings: TeamSettings) {
        val revisions = inForce.getValue(instance.id)
        val before = revisions[settings.team] ?: 0
        if (settings.revision <= before) result.wentBack++
        revisions[settings.team] = settings.revision
        result.onInForce(instance, settings, queue.nowMillis)
    }

    fun onInstanceChanged(by: SimulatedInstance, effect: MembershipEffect.InstanceChanged) {
        val observed = instances.getValue(effect.id)
        val gone = effect.id in goneInstances
        val sameDomain = by.domain == observed.domain
        if (gone && effect.from == MemberState.LIVE && sameDomain) {
            result.noticed(effect.id, queue.nowMillis)
        }
        val restarted = queue.nowMillis - observed.startedMillis < SETTLE_MILLIS
        val settled = queue.nowMillis - by.startedMillis > SETTLE_MILLIS && !restarted
        val reachable = network.connected(by.domain, observed.domain)
        val healing = queue.nowMillis in Scenario.FAULT_FROM..Scenario.FAULT_UNTIL + SETTLE_MILLIS
        val cut = plan.scenario == Scenario.DOMAIN_CUT && healing
        val present = !gone && settled && reachable && !cut
        if (present && effect.from == MemberState.LIVE) {
            if (sameDomain) result.falseSuspicions++ else result.falseOutside++
        }
    }

    fun onServerChanged(by: SimulatedInstance, effect: MembershipEffect.ServerChanged) {
        val seenMillis = serverSeenMillis[effect.id] ?: return
        if (effect.to != MemberState.LEAVING || by.table.homeOf(effect.id) != by.id) return
        result.serverLeft.add(queue.nowMillis - seenMillis)
    }

    fun publish() {
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

    fun randomLive(): SimulatedInstance = instances.values.filter { it.alive }.random(random)

    private companion object {
        const val SETTLE_MILLIS = 60_000L

        /** Four workspaces a team, as 1,200 teams with 4,800 workspaces have. */
        fun settingsText(team: String, revision: Long): String {
            val workspaces =
                (1..4).joinToString("\n") { "[workspace.w$it]\ncredential = $team-key-$it" }
            return "[team]\nname = $team\n$workspaces\n[model.m]\nversion = $revision\n" +
                "[route.r]\npath = /v1/chat/completions\nmodel = m\n"
        }
    }
}
