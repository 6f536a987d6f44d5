package io.lavenderhinge.instance.health

import io.lavenderhinge.adapters.HttpModelEngine
import io.lavenderhinge.core.health.FailureKind
import io.lavenderhinge.core.port.EngineFault
import io.lavenderhinge.core.port.ListedMember
import io.lavenderhinge.core.port.MemberKind
import io.lavenderhinge.http.HttpClient
import io.lavenderhinge.instance.caller.socketAddress
import io.lavenderhinge.instance.control.ControlThread
import io.lavenderhinge.instance.scheduling.SlotService
import kotlinx.coroutines.launch

/** Polls load reports and cache events of the backend servers whose home is this instance. */
internal class LoadPoller(
    private val control: ControlThread,
    private val client: HttpClient,
    private val slots: SlotService,
    private val health: HealthService,
    private val listed: () -> List<ListedMember>,
) {
    private val lastSequences = mutableMapOf<String, Long>()
    private val polling = mutableSetOf<String>()

    /** Starts the polling. */
    fun start() = control.every(POLL_INTERVAL_MILLIS) { poll() }

    private fun poll() {
        val hosted = slots.hostedServerIds()
        lastSequences.keys.retainAll(hosted)
        listed()
            .filter { it.id in hosted && polling.add(it.id) }
            .forEach { member ->
                control.scope.launch {
                    try {
                        pollServer(member)
                    } finally {
                        polling.remove(member.id)
                    }
                }
            }
    }

    private suspend fun pollServer(member: ListedMember) {
        val engine = HttpModelEngine(client, socketAddress(member.address), TIMEOUT_MILLIS)
        engine
            .load()
            .fold(
                { if (it is EngineFault.NotSent) onConnectionRefused(member) },
                {
                    health.reachable(member.id)
                    slots.loadReported(member.id, it)
                },
            )
        if (member.kind != MemberKind.MODEL_ENGINE) return
        engine.cacheEvents(lastSequences[member.id] ?: 0).onRight { events ->
            val last = events.lastOrNull() ?: return@onRight
            lastSequences[member.id] = last.sequence
            slots.cacheChanged(member.id, events)
        }
    }

    private fun onConnectionRefused(member: ListedMember) =
        health.failed(member.id, FailureKind.CONNECTION_REFUSED)

    private companion object {
        const val POLL_INTERVAL_MILLIS = 1_000L
        const val TIMEOUT_MILLIS = 1_000L
    }
}
