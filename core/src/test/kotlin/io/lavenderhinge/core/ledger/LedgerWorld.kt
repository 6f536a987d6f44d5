package io.lavenderhinge.core.ledger

import arrow.core.left
import arrow.core.right
import io.lavenderhinge.core.port.StoreFault
import io.lavenderhinge.core.port.VersionedValue
import kotlin.random.Random

internal enum class StoreMode {
    NORMAL,
    DOWN,
    LOSE_ANSWER_AFTER_EFFECT,
    LOSE_ANSWER_BEFORE_EFFECT,

    /** The call waits until [LedgerWorld.releaseHeld]. */
    HOLD,

    /** The call takes effect; its answer waits until [LedgerWorld.releaseHeld]. */
    HOLD_ANSWER,

    /** The answer is lost; the write takes effect at [LedgerWorld.releaseHeld]. */
    LOSE_ANSWER_AND_HOLD,
}

/** Instances of the ledger, a store and messages, all under the control of a test. One shard. */
internal class LedgerWorld(val limits: LedgerLimits = LedgerLimits(shardCount = 1)) {
    val ids = listOf("a", "b", "c")
    val writer = ShardNames.writerOf(0, ids)!!
    val entry = ids.first { it != writer }
    val otherEntry = ids.last { it != writer }
    val secondWriter = ShardNames.writerOf(0, ids - writer)!!

    var nowMillis = 1_780_000_000_000L
    var storeMode: (StoreCall) -> StoreMode = { StoreMode.NORMAL }
    var isDropped: (to: String, message: LedgerMessage) -> Boolean = { _, _ -> false }
    var isConflictTold = true
    val values = HashMap<String, VersionedValue>()
    val writtenValues = ArrayList<String>()
    val dispatched = ArrayList<Long>()
    val results = HashMap<Long, LedgerResult>()
    val reports = ArrayList<LedgerEffect.Report>()

    private val views = ids.associateWithTo(HashMap()) { ids }
    private val nodes = HashMap<String, LedgerNode>()
    private val paused = HashMap<String, ArrayList<LedgerEvent>>()
    private val queue = ArrayDeque<() -> Unit>()
    private val held = ArrayList<() -> Unit>()
    private val late = ArrayList<() -> Unit>()
    private var seed = 1

    init {
        ids.forEach(::restart)
    }

    val head: DecodedHead
        get() = ShardCodec.decodeHead(values.getValue(ShardNames.headKey(0)).value)

    fun key(name: String) = IdempotencyKey("workspace", name, nowMillis)

    fun begin(
        id: String,
        ticket: Long,
        key: IdempotencyKey,
        bodyHash: String = "hash",
        retentionMillis: Long = 600_000,
    ) {
        val request = LedgerRequest(key, bodyHash, retentionMillis, nowMillis + 10_000)
        handle(id, LedgerEvent.Begin(ticket, request))
        settle()
    }

    fun answer(id: String, ticket: Long, text: String) {
        val answer = LedgerAnswer(200, "text/plain", text.toByteArray())
        handle(id, LedgerEvent.Dispatched(ticket, DispatchOutcome.Answered(answer)))
        settle()
    }

    /** A whole request: begin, dispatch, answer, and its record. */
    fun run(id: String, ticket: Long, key: IdempotencyKey, retentionMillis: Long = 600_000) {
        begin(id, ticket, key, retentionMillis = retentionMillis)
        advance(limits.writeIntervalMillis * 3)
        check(ticket in dispatched) { "ticket $ticket: ${results[ticket]} ${reports}" }
        answer(id, ticket, "answer-$ticket")
        advance(limits.writeIntervalMillis * 3)
    }

    fun end(id: String, ticket: Long, outcome: DispatchOutcome) {
        handle(id, LedgerEvent.Dispatched(ticket, outcome))
        settle()
    }

    fun kill(id: String) {
        nodes.remove(id)
    }

    fun restart(id: String) {
        nodes[id] = LedgerNode(id, limits, Random(seed++)) { views.getValue(id) }
    }

    fun pause(id: String) {
        paused[id] = ArrayList()
    }

    fun resume(id: String) {
        paused.remove(id)!!.forEach { handle(id, it) }
        settle()
    }

    /** Every instance but [exceptId] sees only [live]. */
    fun view(live: List<String>, exceptId: String? = null) =
        ids.filter { it != exceptId }.forEach { views[it] = live }

    /** Messages that were dropped arrive after all. */
    fun deliverDropped() {
        queue += late
        late.clear()
        settle()
    }

    fun releaseHeld() {
        val calls = held.toList()
        held.clear()
        calls.forEach { it() }
        settle()
    }

    /** Lets held writes take effect before the reply to the store call made now. */
    fun releaseHeldSoon() {
        val calls = held.toList()
        held.clear()
        calls.forEach { queue += it }
    }

    /** The periodic wake, by which instances drop shards that others write. */
    fun dropUnused() {
        ids.forEach { handle(it, LedgerEvent.Wake) }
        settle()
    }

    fun advance(millis: Long) {
        val end = nowMillis + millis
        settle()
        while (true) {
            val running = nodes.filterKeys { it !in paused }
            val next = running.values.minOfOrNull { it.nextWakeMillis } ?: Long.MAX_VALUE
            if (next > end) break
            nowMillis = maxOf(nowMillis, next)
            running.keys.forEach { handle(it, LedgerEvent.Wake) }
            settle()
        }
        nowMillis = end
    }

    private fun settle() {
        while (queue.isNotEmpty()) queue.removeFirst()()
    }

    private fun handle(id: String, event: LedgerEvent) {
        paused[id]?.let {
            it += event
            return
        }
        val node = nodes[id] ?: return
        node.handle(event, nowMillis).forEach { execute(id, node, it) }
    }

    private fun execute(id: String, node: LedgerNode, effect: LedgerEffect) {
        when (effect) {
            is LedgerEffect.Send ->
                if (isDropped(effect.toInstanceId, effect.message)) late += deliver(id, effect)
                else queue += deliver(id, effect)
            is LedgerEffect.CallStore ->
                callStore(effect.call) {
                    if (nodes[id] === node) handle(id, LedgerEvent.StoreReplied(it))
                }
            is LedgerEffect.Dispatch -> dispatched += effect.ticket
            is LedgerEffect.Finish -> check(results.put(effect.ticket, effect.result) == null)
            is LedgerEffect.Report -> reports += effect
        }
    }

    private fun deliver(from: String, effect: LedgerEffect.Send): () -> Unit = {
        handle(effect.toInstanceId, LedgerEvent.Received(from, effect.message))
    }

    private fun callStore(call: StoreCall, reply: (StoreResult) -> Unit) {
        val unknown = StoreFault.OutcomeUnknown("lost")
        when (storeMode(call)) {
            StoreMode.NORMAL -> queue += { reply(apply(call)) }
            StoreMode.DOWN -> queue += { reply(fault(call, StoreFault.Unavailable("down"))) }
            StoreMode.HOLD -> held += { apply(call).let { queue += { reply(it) } } }
            StoreMode.HOLD_ANSWER -> apply(call).let { held += { queue += { reply(it) } } }
            StoreMode.LOSE_ANSWER_BEFORE_EFFECT -> queue += { reply(fault(call, unknown)) }
            StoreMode.LOSE_ANSWER_AFTER_EFFECT -> {
                apply(call)
                queue += { reply(fault(call, unknown)) }
            }
            StoreMode.LOSE_ANSWER_AND_HOLD -> {
                held += { apply(call) }
                queue += { reply(fault(call, unknown)) }
            }
        }
    }

    private fun conflict(current: VersionedValue?) =
        StoreFault.Conflict(current.takeIf { isConflictTold }).left()

    private fun fault(call: StoreCall, fault: StoreFault): StoreResult =
        when (call) {
            is StoreCall.Read -> StoreResult.ReadDone(call.callId, call.shard, fault.left())
            is StoreCall.Write -> StoreResult.WriteDone(call.callId, call.shard, fault.left())
        }

    private fun apply(call: StoreCall): StoreResult {
        val current = values[call.key]
        if (call is StoreCall.Read) {
            return StoreResult.ReadDone(call.callId, call.shard, current.right())
        }
        val write = call as StoreCall.Write
        if ((current?.version ?: 0) != write.expectedVersion) {
            return StoreResult.WriteDone(call.callId, 0, conflict(current))
        }
        val version = write.expectedVersion + 1
        values[call.key] = VersionedValue(call.key, write.value, version)
        writtenValues += write.value
        return StoreResult.WriteDone(call.callId, call.shard, version.right())
    }
}
