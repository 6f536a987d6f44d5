package io.lavenderhinge.instance.rollout

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.lavenderhinge.core.port.CacheEvent
import io.lavenderhinge.core.port.EngineFault
import io.lavenderhinge.core.port.EngineOrder
import io.lavenderhinge.core.port.KeyValueStore
import io.lavenderhinge.core.port.Lease
import io.lavenderhinge.core.port.LoadReport
import io.lavenderhinge.core.port.ModelEngine
import io.lavenderhinge.core.port.StoreFault
import io.lavenderhinge.core.port.VersionedValue
import io.lavenderhinge.core.port.WatchResult
import io.lavenderhinge.core.rollout.RequestOutcome
import io.lavenderhinge.core.rollout.TeamTarget
import io.lavenderhinge.core.settings.RolloutSettings
import io.lavenderhinge.core.settings.SettingsTree
import io.lavenderhinge.core.settings.Target
import io.lavenderhinge.core.settings.TargetSettings
import io.lavenderhinge.core.settings.TeamSettings
import io.lavenderhinge.instance.control.ControlThread
import io.lavenderhinge.instance.peer.FrameReceiver
import io.lavenderhinge.instance.peer.PeerLinks
import io.lavenderhinge.protocol.v1.Frame
import java.time.Instant
import java.time.InstantSource
import kotlin.random.Random
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toImmutableList
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext

internal val drafting = TeamTarget("caprock", Target.Model("drafting"))

/** In-memory key-value service whose leases follow the fleet's clock. */
internal class FakeStore(private val nowMillis: () -> Long) : KeyValueStore {
    val values = sortedMapOf<String, VersionedValue>()
    var down = false
    var unresponsive = false
    private val leaseOf = HashMap<String, String>()
    private val leaseEnds = HashMap<String, Long>()
    private var version = 0L

    private suspend fun <T> answer(call: () -> Either<StoreFault, T>): Either<StoreFault, T> {
        if (unresponsive) awaitCancellation()
        if (down) return StoreFault.Unavailable("the service is down").left()
        values.keys.removeIf { key ->
            leaseOf[key]?.let { leaseEnds.getValue(it) < nowMillis() } == true
        }
        return call()
    }

    override suspend fun get(key: String) = answer { values[key].right() }

    override suspend fun list(prefix: String): Either<StoreFault, ImmutableList<VersionedValue>> =
        answer {
            values.values.filter { it.key.startsWith(prefix) }.toImmutableList().right()
        }

    override suspend fun compareAndSwap(
        key: String,
        expectedVersion: Long,
        value: String,
        leaseId: String?,
    ) = answer {
        val current = values[key]
        if ((current?.version ?: 0) != expectedVersion) {
            StoreFault.Conflict(current).left()
        } else {
            values[key] = VersionedValue(key, value, ++version)
            leaseOf.remove(key)
            if (leaseId != null) leaseOf[key] = leaseId
            version.right()
        }
    }

    override suspend fun watch(prefix: String, afterRevision: Long, waitMillis: Long) =
        answer<WatchResult> { StoreFault.Unavailable("not used").left() }

    override suspend fun grantLease(timeToLiveMillis: Long) = answer {
        val id = "lease-${++version}"
        leaseEnds[id] = nowMillis() + timeToLiveMillis
        Lease(id, timeToLiveMillis).right()
    }

    override suspend fun renewLease(leaseId: String) = answer {
        if (leaseEnds.getValue(leaseId) < nowMillis()) {
            StoreFault.Conflict(null).left()
        } else {
            leaseEnds[leaseId] = nowMillis() + 10_000
            Lease(leaseId, 10_000).right()
        }
    }
}

/** Engine that accepts every order and ignores fencing numbers. */
internal class FakeEngine : ModelEngine {
    val orders = mutableListOf<EngineOrder>()

    override suspend fun load() =
        LoadReport(0, 0, 0, "7", 0).right() as Either<EngineFault, LoadReport>

    override suspend fun cacheEvents(afterSequence: Long) =
        persistentListOf<CacheEvent>().right() as Either<EngineFault, ImmutableList<CacheEvent>>

    override suspend fun order(order: EngineOrder): Either<EngineFault, Unit> {
        orders += order
        return Unit.right()
    }

    override suspend fun cancel(requestId: String): Either<EngineFault, Unit> = Unit.right()
}

/** Instances with direct links that share one thread and one virtual clock. */
internal class RolloutFleet(size: Int) : AutoCloseable {
    var nowMillis = 1_000_000L
    val store = FakeStore { nowMillis }
    val engines = (1..3).map { FakeEngine() }
    val control = ControlThread(InstantSource { Instant.ofEpochMilli(nowMillis) }, Random(1))
    var rollouts =
        persistentListOf(RolloutSettings("drafting", drafting.target, "7", "8", DEADLINE, 0.05))
    val live = (1..size).map { "i$it" }.toMutableList()
    private val receivers = HashMap<String, FrameReceiver>()
    val services = live.associateWith { service(it) }
    var bytesSent = 0L

    private fun service(id: String): RolloutService {
        val servers = engines.mapIndexed { i, engine -> RolloutServer("e$i", "7", engine) }
        val ports =
            RolloutPorts(
                store,
                { _, _ -> true.right() },
                Links(id),
                ::settings,
                { live },
                { servers },
            )
        return RolloutService(ports, control).also { it.registerFrameHandler() }
    }

    private fun settings(): SettingsTree {
        val targets = persistentListOf(TargetSettings(drafting.target, "7"))
        val team = TeamSettings("caprock", 1, targets = targets, rollouts = rollouts)
        return SettingsTree(persistentMapOf("caprock" to team))
    }

    /**
     * Runs for [seconds] or until [isDone] returns true. Version 8 fails on [failingInstances], or
     * on all instances if [newVersionFails] is set.
     */
    fun run(
        seconds: Int,
        newVersionFails: Boolean = false,
        failingInstances: Set<String> = if (newVersionFails) live.toSet() else emptySet(),
        isDone: () -> Boolean = { false },
    ) {
        repeat(seconds) {
            if (isDone()) return
            nowMillis += 1_000
            for (id in live.toList()) runSecond(services.getValue(id), id in failingInstances)
        }
    }

    private fun runSecond(service: RolloutService, newVersionFails: Boolean) = onControl {
        repeat(REQUESTS) {
            val version = service.versionFor(drafting, "$nowMillis-$it-${service.hashCode()}")
            val failed = newVersionFails && version == "8"
            val outcome = if (failed) RequestOutcome.Failed else RequestOutcome.Answered(100L + it)
            if (version != null) service.observe(drafting, "draft", version, outcome)
        }
        service.tick()
    }

    /** Runs [action] and everything it launches on the control thread. */
    private fun onControl(action: suspend () -> Unit) = runBlocking {
        withContext(control.scope.coroutineContext) { launch { action() }.join() }
        repeat(3) { withContext(control.scope.coroutineContext) {} }
    }

    /** Fraction of requests that the live instances route to version 8. */
    fun newShare(): Double {
        val versions =
            live.flatMap { id ->
                (1..500).map { services.getValue(id).versionFor(drafting, "r$it") }
            }
        return versions.count { it == "8" }.toDouble() / versions.size
    }

    fun status(): String? = store.values["status/rollout/caprock/drafting"]?.value

    override fun close() = control.close()

    private inner class Links(override val selfId: String) : PeerLinks {
        override fun send(instanceId: String, frame: Frame): Boolean {
            if (instanceId !in live) return false
            bytesSent += frame.serializedSize
            val copy = Frame.parseFrom(frame.toByteArray())
            control.execute { receivers.getValue(instanceId).receive(selfId, copy) }
            return true
        }

        override fun onFrame(receiver: FrameReceiver) {
            receivers[selfId] = receiver
        }

        override fun onLinkLost(listener: (instanceId: String) -> Unit) = Unit
    }

    companion object {
        const val REQUESTS = 20
        const val DEADLINE = 1_000_000L + 1_800_000L
    }
}
