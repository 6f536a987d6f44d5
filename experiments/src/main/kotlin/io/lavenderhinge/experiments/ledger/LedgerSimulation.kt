package io.lavenderhinge.experiments.ledger

import io.lavenderhinge.core.ledger.DispatchOutcome
import io.lavenderhinge.core.ledger.IdempotencyKey
import io.lavenderhinge.core.ledger.LedgerAnswer
import io.lavenderhinge.core.ledger.LedgerEffect
import io.lavenderhinge.core.ledger.LedgerEvent
import io.lavenderhinge.core.ledger.LedgerRequest
import io.lavenderhinge.core.ledger.LedgerResult
import io.lavenderhinge.core.ledger.ShardMapping
import kotlin.math.ln
import kotlin.random.Random

/**
 * Simulates entries, shard writers, callers and backend servers around the production state
 * machines of the ledger. Equal settings produce equal runs.
 */
class LedgerSimulation(private val settings: LedgerRunSettings) {
    private class Caller(
        val request: LedgerRequest,
        val instance: SimulatedInstance,
        val startedAtMicros: Long,
        val retriesLeft: Int,
    )

    val clock = VirtualClock()
    val random = Random(settings.seed)
    val store = FakeLedgerStore(clock, Random(settings.seed + 1))
    val executionHistory = ExecutionHistory()
    val metrics = LedgerMetrics()
    val network = SimulatedNetwork(clock, Random(settings.seed + 2))
    private val callers = HashMap<Long, Caller>()
    private val firstDispatchMicros = HashMap<Int, Long>()
    private var lastTicket = 0L
    private val ids = (0 until settings.instanceCount).map { "i-$it" }
    private val hasClockErrors = settings.hasFaults && settings.seed % 3 == 0L
    private val processes = ids.associateWithTo(LinkedHashMap()) { start(it, ids) }

    val instances: Collection<SimulatedInstance>
        get() = processes.values

    /** Runs the workload, then a recovery phase without faults. */
    fun run(): LedgerMetrics {
        clock.scheduleAfter(0) { generateArrival() }
        val faults = LedgerFaultInjector(this, Random(settings.seed + 3))
        if (settings.hasFaults) faults.schedule(settings.durationMillis)
        clock.run(settings.durationMillis)
        metrics.captureStoreCounters(store, clock.elapsedMillis)
        faults.stopAll()
        clock.run(RECOVERY_MILLIS)
        metrics.checkRecovery()
        metrics.violations += executionHistory.violations
        if (store.largestValueBytes > settings.limits.maxValueBytes) {
            metrics.violations +=
                "a value of ${store.largestValueBytes} bytes exceeds the limit of " +
                    "${settings.limits.maxValueBytes} bytes"
        }
        return metrics
    }

    /**
     * Kills the instance that writes the most shards and removes it from the views of the others.
     * Measures the time until the new writer of each shard allows a dispatch, and the store reads.
     */
    fun measureTakeover(): TakeoverMetrics {
        val writers =
            (0 until settings.limits.shardCount).groupBy { ShardMapping.writerOf(it, ids)!! }
        val (id, shards) = writers.entries.maxBy { it.value.size }
        firstDispatchMicros.clear()
        val reads = store.readCount
        val bytes = store.readBytes
        val killedAtMicros = clock.nowMicros
        kill(id)
        processes.values.forEach { it.liveInstances = ids - id }
        clock.run(TAKEOVER_WINDOW_MILLIS)
        val millis =
            shards.associateWith { shard ->
                firstDispatchMicros[shard]?.let { (it - killedAtMicros) / 1000.0 }
            }
        return TakeoverMetrics(millis, store.readCount - reads, store.readBytes - bytes)
    }

    /** Measures heap bytes per key held by the writers, by discarding all instances. */
    fun heapBytesPerKey(): Double {
        val keys = processes.values.sumOf { it.loadedRecordCount }
        val before = usedHeapBytes()
        ids.forEach(::kill)
        processes.clear()
        // Events that are already scheduled still hold references to the instances.
        clock.run(SETTLE_MILLIS)
        return (before - usedHeapBytes()).toDouble() / maxOf(1, keys)
    }

    private fun usedHeapBytes(): Long {
        repeat(GC_RUNS) { System.gc() }
        return Runtime.getRuntime().let { it.totalMemory() - it.freeMemory() }
    }

    fun instance(id: String): SimulatedInstance = processes.getValue(id)

    /** Kills the process of [id]. Its callers lose their connections and may retry. */
    fun kill(id: String) {
        val dead = instance(id)
        dead.kill()
        val lost = callers.filterValues { it.instance === dead }
        for ((ticket, caller) in lost) {
            callers.remove(ticket)
            metrics.countOutcome("connection lost")
            scheduleRetry(caller)
        }
    }

    fun restart(id: String) {
        processes[id] = start(id, ids)
    }

    private fun start(id: String, live: List<String>): SimulatedInstance {
        val errorMillis = if (hasClockErrors) random.nextLong(-120_000, 120_000) else 0
        val seed = Random(random.nextLong())
        return SimulatedInstance(id, settings.limits, seed, clock, errorMillis, live, ::execute)
    }

    private fun execute(instance: SimulatedInstance, effect: LedgerEffect) {
        when (effect) {
            is LedgerEffect.Send ->
                network.send(instance.id, effect.toInstanceId) {
                    val event = LedgerEvent.Received(instance.id, effect.message)
                    processes[effect.toInstanceId]?.handle(event)
                }
            is LedgerEffect.CallStore ->
                store.call(effect.call) { instance.handle(LedgerEvent.StoreReplied(it)) }
            is LedgerEffect.Dispatch -> dispatch(instance, effect.ticket)
            is LedgerEffect.Finish -> finish(effect.ticket, effect.result)
            is LedgerEffect.Log ->
                if (effect.isError) metrics.violations += "${instance.id}: ${effect.message}"
        }
    }

    private fun generateArrival() {
        val gapMicros = (-ln(1 - random.nextDouble()) / settings.requestsPerSecond * 1e6).toLong()
        clock.scheduleAfter(gapMicros) { generateArrival() }
        val request = newRequest()
        submit(request, retriesLeft = 3)
        if (random.nextDouble() < settings.duplicateFraction) {
            clock.scheduleAfter(random.nextLong(100_000)) { submit(request, retriesLeft = 0) }
        }
        if (random.nextDouble() < settings.lateRetryFraction) {
            val delayMicros = random.nextLong(settings.retentionMillis * 1500)
            clock.scheduleAfter(delayMicros) {
                submit(request, retriesLeft = 0, isLateRetry = true)
            }
        }
        if (random.nextDouble() < settings.duplicateFraction / 10) {
            clock.scheduleAfter(random.nextLong(2_000_000)) {
                submit(request.copy(bodyHash = "another-body"), retriesLeft = 0)
            }
        }
    }

    private fun newRequest(): LedgerRequest {
        val now = clock.nowMicros / 1000
        val createdAt = if (random.nextInt(200) == 0) now - 60_000 else now
        val key = IdempotencyKey.generate("workspace", createdAt, random)
        return LedgerRequest(key, bodyHash(), settings.retentionMillis, 0)
    }

    private fun bodyHash(): String = random.nextLong().toULong().toString(36).padStart(22, '0')

    private fun submit(request: LedgerRequest, retriesLeft: Int, isLateRetry: Boolean = false) {
        val instance = processes.values.filter { !it.isDead }.randomOrNull(random) ?: return
        val timedRequest = request.copy(deadlineAtMillis = instance.nowMillis() + DEADLINE_MILLIS)
        val ticket = ++lastTicket
        if (isLateRetry) metrics.lateRetryTickets += ticket
        callers[ticket] = Caller(timedRequest, instance, clock.nowMicros, retriesLeft)
        metrics.recordStart(clock.elapsedMillis)
        instance.handle(LedgerEvent.Begin(ticket, timedRequest))
    }

    private fun dispatch(instance: SimulatedInstance, ticket: Long) {
        val caller = callers[ticket]
        if (caller == null) {
            metrics.violations += "ticket $ticket was dispatched without a waiting caller"
            return
        }
        val shard = ShardMapping.shardOf(caller.request.key.recordName, settings.limits.shardCount)
        firstDispatchMicros.putIfAbsent(shard, clock.nowMicros)
        metrics.latencyMicros += clock.nowMicros - caller.startedAtMicros
        val sample = random.nextDouble()
        if (sample < settings.backendFaultFraction / 3) {
            val outcome = DispatchOutcome.NeverSent("no backend server took the request")
            return endDispatch(instance, ticket, outcome)
        }
        val key = caller.request.key.recordName
        val answer = LedgerAnswer(200, "text/plain", random.nextBytes(answerBytes()))
        val outcome =
            if (sample > settings.backendFaultFraction) DispatchOutcome.Answered(answer)
            else DispatchOutcome.Lost("the backend server's connection broke")
        clock.scheduleAfter(random.nextLong(1_000)) {
            executionHistory.recordExecution(key, ticket, answer)
            endDispatch(instance, ticket, outcome)
        }
    }

    private fun endDispatch(instance: SimulatedInstance, ticket: Long, outcome: DispatchOutcome) =
        clock.scheduleAfter(random.nextLong(5_000, 200_000)) {
            instance.handle(LedgerEvent.DispatchEnded(ticket, outcome))
        }

    private fun answerBytes(): Int =
        if (random.nextInt(100) == 0) settings.limits.maxAnswerBytes + 1 else settings.answerBytes

    private fun finish(ticket: Long, result: LedgerResult) {
        val caller = callers.remove(ticket)
        if (caller == null) {
            metrics.violations += "ticket $ticket got a result without a waiting caller"
            return
        }
        val key = caller.request.key.recordName
        metrics.recordResult(clock.elapsedMillis, ticket, result, executionHistory.wasAnswered(key))
        executionHistory.recordResult(key, ticket, result)
        val isRetryable = result is LedgerResult.NotRun || result is LedgerResult.Unknown
        if (isRetryable) scheduleRetry(caller)
    }

    private fun scheduleRetry(caller: Caller) {
        if (caller.retriesLeft == 0) return
        clock.scheduleAfter(random.nextLong(100_000, 2_000_000)) {
            submit(caller.request, caller.retriesLeft - 1)
        }
    }

    private companion object {
        const val DEADLINE_MILLIS = 10_000L
        const val RECOVERY_MILLIS = 30_000L
        const val TAKEOVER_WINDOW_MILLIS = 5_000L
        const val SETTLE_MILLIS = 60_000L
        const val GC_RUNS = 3
    }
}
