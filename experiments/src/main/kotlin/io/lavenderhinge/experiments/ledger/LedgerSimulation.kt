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
 * Entries, shard writers, callers and backend servers in virtual time around the real state
 * machines of the ledger. The same settings always give the same run.
 */
class LedgerSimulation(private val settings: LedgerRunSettings) {
    private class Caller(
        val request: LedgerRequest,
        val instance: SimulatedInstance,
        val beganAtMicros: Long,
        val repeatsLeft: Int,
    )

    val time = VirtualTime()
    val random = Random(settings.seed)
    val store = FakeLedgerStore(time, Random(settings.seed + 1))
    val record = ExecutionRecord()
    val figures = LedgerFigures()
    val network = SimulatedNetwork(time, Random(settings.seed + 2))
    private val callers = HashMap<Long, Caller>()
    private val firstDispatchMicros = HashMap<Int, Long>()
    private var lastTicket = 0L
    private val ids = (0 until settings.instanceCount).map { "i-$it" }
    private val hasClockErrors = settings.hasFaults && settings.seed % 3 == 0L
    private val processes = ids.associateWithTo(LinkedHashMap()) { start(it, ids) }

    val instances: Collection<SimulatedInstance>
        get() = processes.values

    /** Runs the workload, then lets everything settle without faults. */
    fun run(): LedgerFigures {
        time.after(0) { arrive() }
        val faults = LedgerFaults(this, Random(settings.seed + 3))
        if (settings.hasFaults) faults.schedule(settings.durationMillis)
        time.run(settings.durationMillis)
        figures.readStore(store, time.elapsedMillis)
        faults.endAll()
        time.run(QUIET_MILLIS)
        figures.checkQuietPhase()
        figures.violations += record.violations
        if (store.largestValueBytes > settings.limits.maxValueBytes) {
            figures.violations += "a value of ${store.largestValueBytes} bytes was written"
        }
        return figures
    }

    /**
     * Kills the instance that writes the most shards and tells the others. Returns what the next
     * writers needed until each of the shards recorded an intent again.
     */
    fun takeOver(): TakeoverFigures {
        val writers =
            (0 until settings.limits.shardCount).groupBy { ShardMapping.writerOf(it, ids)!! }
        val (id, shards) = writers.entries.maxBy { it.value.size }
        firstDispatchMicros.clear()
        val reads = store.readCount
        val bytes = store.readBytes
        val killedAtMicros = time.nowMicros
        kill(id)
        processes.values.forEach { it.live = ids - id }
        time.run(TAKEOVER_MILLIS)
        val millis =
            shards.associateWith { shard ->
                firstDispatchMicros[shard]?.let { (it - killedAtMicros) / 1000.0 }
            }
        return TakeoverFigures(millis, store.readCount - reads, store.readBytes - bytes)
    }

    /** Heap bytes for each key that the writers hold, by dropping all instances. */
    fun heapBytesPerKey(): Double {
        val keys = processes.values.sumOf { it.loadedRecordCount }
        val before = usedHeapBytes()
        ids.forEach(::kill)
        processes.clear()
        // Events that are already scheduled still refer to the instances.
        time.run(SETTLE_MILLIS)
        return (before - usedHeapBytes()).toDouble() / maxOf(1, keys)
    }

    private fun usedHeapBytes(): Long {
        repeat(GC_RUNS) { System.gc() }
        return Runtime.getRuntime().let { it.totalMemory() - it.freeMemory() }
    }

    fun instance(id: String): SimulatedInstance = processes.getValue(id)

    /** Ends the process of [id]; its callers lose their connections and some repeat elsewhere. */
    fun kill(id: String) {
        val dead = instance(id)
        dead.kill()
        val lost = callers.filterValues { it.instance === dead }
        for ((ticket, caller) in lost) {
            callers.remove(ticket)
            figures.count("connection lost")
            repeat(caller)
        }
    }

    fun restart(id: String) {
        processes[id] = start(id, ids)
    }

    private fun start(id: String, live: List<String>): SimulatedInstance {
        val errorMillis = if (hasClockErrors) random.nextLong(-120_000, 120_000) else 0
        val seed = Random(random.nextLong())
        return SimulatedInstance(id, settings.limits, seed, time, errorMillis, live, ::execute)
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
                if (effect.isError) figures.violations += "${instance.id}: ${effect.message}"
        }
    }

    private fun arrive() {
        val gapMicros = (-ln(1 - random.nextDouble()) / settings.requestsPerSecond * 1e6).toLong()
        time.after(gapMicros) { arrive() }
        val request = newRequest()
        begin(request, repeatsLeft = 3)
        if (random.nextDouble() < settings.duplicateFraction) {
            time.after(random.nextLong(100_000)) { begin(request, repeatsLeft = 0) }
        }
        if (random.nextDouble() < settings.lateRepeatFraction) {
            val delayMicros = random.nextLong(settings.retentionMillis * 1500)
            time.after(delayMicros) { begin(request, repeatsLeft = 0, isLate = true) }
        }
        if (random.nextDouble() < settings.duplicateFraction / 10) {
            time.after(random.nextLong(2_000_000)) {
                begin(request.copy(bodyHash = "another-body"), repeatsLeft = 0)
            }
        }
    }

    private fun newRequest(): LedgerRequest {
        val now = time.nowMicros / 1000
        val createdAt = if (random.nextInt(200) == 0) now - 60_000 else now
        val key = IdempotencyKey.generate("workspace", createdAt, random)
        return LedgerRequest(key, bodyHash(), settings.retentionMillis, 0)
    }

    private fun bodyHash(): String = random.nextLong().toULong().toString(36).padStart(22, '0')

    private fun begin(request: LedgerRequest, repeatsLeft: Int, isLate: Boolean = false) {
        val instance = processes.values.filter { !it.isDead }.randomOrNull(random) ?: return
        val timed = request.copy(deadlineAtMillis = instance.nowMillis() + DEADLINE_MILLIS)
        val ticket = ++lastTicket
        if (isLate) figures.lateRepeats += ticket
        callers[ticket] = Caller(timed, instance, time.nowMicros, repeatsLeft)
        figures.began(time.elapsedMillis)
        instance.handle(LedgerEvent.Begin(ticket, timed))
    }

    private fun dispatch(instance: SimulatedInstance, ticket: Long) {
        val caller = callers[ticket]
        if (caller == null) {
            figures.violations += "ticket $ticket is dispatched without a caller"
            return
        }
        val shard = ShardMapping.shardOf(caller.request.key.recordName, settings.limits.shardCount)
        firstDispatchMicros.putIfAbsent(shard, time.nowMicros)
        figures.latencyMicros += time.nowMicros - caller.beganAtMicros
        val fate = random.nextDouble()
        if (fate < settings.backendFaultFraction / 3) {
            val outcome = DispatchOutcome.NeverSent("no backend server took the request")
            return endDispatch(instance, ticket, outcome)
        }
        val key = caller.request.key.recordName
        val answer = LedgerAnswer(200, "text/plain", random.nextBytes(answerBytes()))
        val outcome =
            if (fate > settings.backendFaultFraction) DispatchOutcome.Answered(answer)
            else DispatchOutcome.Lost("the backend server's connection broke")
        time.after(random.nextLong(1_000)) {
            record.ran(key, ticket, answer)
            endDispatch(instance, ticket, outcome)
        }
    }

    private fun endDispatch(instance: SimulatedInstance, ticket: Long, outcome: DispatchOutcome) =
        time.after(random.nextLong(5_000, 200_000)) {
            instance.handle(LedgerEvent.DispatchEnded(ticket, outcome))
        }

    private fun answerBytes(): Int =
        if (random.nextInt(100) == 0) settings.limits.maxAnswerBytes + 1 else settings.answerBytes

    private fun finish(ticket: Long, result: LedgerResult) {
        val caller = callers.remove(ticket)
        if (caller == null) {
            figures.violations += "ticket $ticket was answered without a caller"
            return
        }
        val key = caller.request.key.recordName
        figures.finished(time.elapsedMillis, ticket, result, record.wasAnswered(key))
        record.told(key, ticket, result)
        val mayHelp = result is LedgerResult.NotRun || result is LedgerResult.Unknown
        if (mayHelp) repeat(caller)
    }

    private fun repeat(caller: Caller) {
        if (caller.repeatsLeft == 0) return
        time.after(random.nextLong(100_000, 2_000_000)) {
            begin(caller.request, caller.repeatsLeft - 1)
        }
    }

    private companion object {
        const val DEADLINE_MILLIS = 10_000L
        const val QUIET_MILLIS = 30_000L
        const val TAKEOVER_MILLIS = 5_000L
        const val SETTLE_MILLIS = 60_000L
        const val GC_RUNS = 3
    }
}
