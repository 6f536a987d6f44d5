package io.lavenderhinge.instance.health

import io.lavenderhinge.adapters.HttpModelEngine
import io.lavenderhinge.core.health.FailureKind
import io.lavenderhinge.core.health.HealthEffect
import io.lavenderhinge.core.health.HealthEvent
import io.lavenderhinge.core.health.HealthTable
import io.lavenderhinge.core.health.ServerState as HealthState
import io.lavenderhinge.core.port.EngineFault
import io.lavenderhinge.core.port.ListedMember
import io.lavenderhinge.core.scheduling.ServerHealth
import io.lavenderhinge.core.scheduling.ServerState
import io.lavenderhinge.http.HttpClient
import io.lavenderhinge.instance.caller.ServerEvidence
import io.lavenderhinge.instance.caller.socketAddress
import io.lavenderhinge.instance.control.ControlThread
import kotlinx.coroutines.launch
import org.slf4j.LoggerFactory

/**
 * Tracks the health of backend servers from the requests of this instance, and probes suspect and
 * dead servers.
 *
 * [listed] returns the backend servers in the live list.
 */
internal class HealthService(
    private val control: ControlThread,
    private val client: HttpClient,
    private val listed: () -> List<ListedMember>,
) : ServerEvidence {
    private val table = HealthTable()
    private var known: Map<String, ListedMember> = emptyMap()

    /** Starts the periodic evaluation. */
    fun start() = control.every(TICK_MILLIS) { tick() }

    /** Health of a server for the homes. Control thread only. */
    fun health(serverId: String): ServerHealth {
        val nowMillis = control.nowMillis()
        return when (table.state(serverId)) {
            HealthState.DEAD -> ServerHealth(ServerState.DOWN)
            HealthState.LEAVING -> ServerHealth(ServerState.LEAVING)
            null -> ServerHealth(ServerState.LIVE)
            else -> ServerHealth(ServerState.LIVE, fraction(serverId, nowMillis))
        }
    }

    /** State of every server, for the status page. Control thread only. */
    fun states(): Map<String, String> =
        known.keys.associateWith { (table.state(it) ?: HealthState.LIVE).name.lowercase() }

    override fun answered(serverId: String, firstTokenMillis: Long?) =
        control.execute { apply(HealthEvent.Answered(serverId, firstTokenMillis)) }

    override fun failed(serverId: String, kind: FailureKind) =
        control.execute { apply(HealthEvent.Failed(serverId, kind)) }

    /** Records that a server answered a call outside the request path. */
    fun reachable(serverId: String) = control.execute { apply(HealthEvent.LoadReported(serverId)) }

    // Rounded, so that a slow start does not change the server view on every read.
    private fun fraction(serverId: String, nowMillis: Long): Double =
        (table.weightFraction(serverId, nowMillis) * FRACTION_STEPS)
            .toInt()
            .coerceIn(1, FRACTION_STEPS)
            .toDouble() / FRACTION_STEPS

    private fun tick() {
        val members = listed().associateBy { it.id }
        members.values.forEach { member ->
            val pool = "${member.serves}@${member.version}"
            apply(HealthEvent.Listed(member.id, pool, member.leaving))
        }
        known.keys.filter { it !in members }.forEach { apply(HealthEvent.Unlisted(it)) }
        known = members
        apply(HealthEvent.Tick)
    }

    private fun apply(event: HealthEvent) =
        table.handle(event, control.nowMillis()).forEach { effect ->
            when (effect) {
                is HealthEffect.Probe -> probe(effect.serverId)
                is HealthEffect.StateChanged ->
                    log.info(
                        "health: {} is {}: {}",
                        effect.serverId,
                        effect.state.name.lowercase(),
                        effect.reason,
                    )
            }
        }

    private fun probe(serverId: String) {
        val member = known[serverId] ?: return
        control.scope.launch {
            HttpModelEngine(client, socketAddress(member.address), PROBE_TIMEOUT_MILLIS)
                .load()
                .fold({ probeFailed(serverId, it) }, { apply(HealthEvent.LoadReported(serverId)) })
        }
    }

    private fun probeFailed(serverId: String, fault: EngineFault) {
        val kind =
            when (fault) {
                is EngineFault.NotSent -> FailureKind.CONNECTION_REFUSED
                is EngineFault.OutcomeUnknown -> FailureKind.TIMEOUT
                is EngineFault.Refused ->
                    if (fault.draining) FailureKind.DRAINING else FailureKind.SERVER_ERROR
                is EngineFault.Fenced -> return
            }
        apply(HealthEvent.Failed(serverId, kind))
    }

    private companion object {
        const val TICK_MILLIS = 200L
        const val PROBE_TIMEOUT_MILLIS = 500L
        const val FRACTION_STEPS = 20
        val log = LoggerFactory.getLogger(HealthService::class.java)
    }
}
