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

    /** The call is delayed until [LedgerCluster.releaseHeld]. */
    HOLD,

    /** The call takes effect; its reply is delayed until [LedgerCluster.releaseHeld]. */
    HOLD_ANSWER,

    /** The reply is lost; the write takes effect at [LedgerCluster.releaseHeld]. */
    LOSE_ANSWER_AND_HOLD,
}

/**
 * Ledger nodes of three instances with one shard, in virtual time. A test controls membership,
 * store results and message loss.
 */
internal class LedgerCluster(val limits: LedgerLimits = LedgerLimits(shardCount = 1)) {
    val ids = listOf("a", "b", "c")
    val writer = ShardMapping.writerOf(0, ids)!!
    val entry = ids.first { it != writer }
    val otherEntry = ids.last { it != writer }
    val secondWriter = ShardMapping.writerOf(0, ids - writer)!!

    var nowMillis = 1_780_000_000_000L
    var storeMode: (StoreCall) -> StoreMode = { StoreMode.NORMAL }
    var isDropped: (to: String, message: LedgerMessage) -> Boolean = { _, _ -> false }
    var includesConflictValue = true
    val values = HashMap<String, VersionedValue>()
    val writtenValues = ArrayList<String>()
    val dispatched = ArrayList<Long>()
    val results = HashMap<Long, LedgerResult>()
    val logs = ArrayList<LedgerEffect.Log>()

    private val liveIdsByInstance = ids.associateWithTo(HashMap()) { ids }
    private val nodes = HashMap<String, LedgerNode>()
    private val paused = HashMap<String, ArrayList<LedgerEvent>>()
    private val queue = ArrayDeque<() -> Unit>()
    private val heldCalls = ArrayList<() -> Unit>()
    private val droppedDeliveries = ArrayList<() -> Unit>()
    private var seed = 1

    init {
        ids.forEach(::restart)
    }

    val head: DecodedHead
        get() = ShardCodec.decodeHead(values.getValue(ShardMapping.headKey(0)).value)

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
        processQueue()
    }

    fun answer(id: String, ticket: Long, text: String) {
        val answer = LedgerAnswer(200, "text/plain", text.toByteArray())
        handle(id, LedgerEvent.DispatchEnded(ticket, DispatchOutcome.Answered(answer)))
        processQueue()
    }

    /** Runs a request from its start until its answer is recorded. */
    fun runRequest(id: String, ticket: Long, key: IdempotencyKey, retentionMillis: Long = 600_000) {
        begin(id, ticket, key, retentionMillis = retentionMillis)
        advance(limits.writeIntervalMillis * 3)
        check(ticket in dispatched) { "ticket $ticket: ${results[ticket]} ${logs}" }
        answer(id, ticket, "answer-$ticket")
        advance(limits.writeIntervalMillis * 3)
    }

    fun endDispatch(id: String, ticket: Long, outcome: DispatchOutcome) {
        handle(id, LedgerEvent.DispatchEnded(ticket, outcome))
        processQueue()
    }

    fun kill(id: String) {
        nodes.remove(id)
    }

    fun restart(id: String) {
        nodes[id] = LedgerNode(id, limits, Random(seed++)) { liveIdsByInstance.getValue(id) }
    }

    fun pause(id: String) {
        paused[id] = ArrayList()
    }

    fun resume(id: String) {
        paused.remove(id)!!.forEach { handle(id, it) }
        processQueue()
    }

    /** Makes [live] the live instances in the membership of all instances except [exceptId]. */
    fun setLiveInstances(live: List<String>, exceptId: String? = null) =
        ids.filter { it != exceptId }.forEach { liveIdsByInstance[it] = live }

    /** Delivers the messages that were dropped so far. */
    fun deliverDropped() {
        queue += droppedDeliveries
        droppedDeliveries.clear()
        processQueue()
    }

    fun releaseHeld() {
        val calls = heldCalls.toList()
        heldCalls.clear()
        calls.forEach { it() }
        processQueue()
    }

    /** Makes held calls take effect before the reply to the current store call. */
    fun enqueueHeld() {
        val calls = heldCalls.toList()
        heldCalls.clear()
        calls.forEach { queue += it }
    }

    /** Wakes all instances, which unload shards that others now write. */
    fun wakeAll() {
        ids.forEach { handle(it, LedgerEvent.Wake) }
        processQueue()
    }

    fun advance(millis: Long) {
        val end = nowMillis + millis
        processQueue()
        while (true) {
            val running = nodes.filterKeys { it !in paused }
            val next = running.values.minOfOrNull { it.nextWakeMillis } ?: Long.MAX_VALUE
            if (next > end) break
            nowMillis = maxOf(nowMillis, next)
            running.keys.forEach { handle(it, LedgerEvent.Wake) }
            processQueue()
        }
        nowMillis = end
    }

    private fun processQueue() {
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
                if (isDropped(effect.toInstanceId, effect.message))
                    droppedDeliveries += deliver(id, effect)
                else queue += deliver(id, effect)
            is LedgerEffect.CallStore ->
                callStore(effect.call) {
                    if (nodes[id] === node) handle(id, LedgerEvent.StoreReplied(it))
                }
            is LedgerEffect.Dispatch -> dispatched += effect.ticket
            is LedgerEffect.Finish -> check(results.put(effect.ticket, effect.result) == null)
            is LedgerEffect.Log -> logs += effect
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
            StoreMode.HOLD -> heldCalls += { apply(call).let { queue += { reply(it) } } }
            StoreMode.HOLD_ANSWER -> apply(call).let { heldCalls += { queue += { reply(it) } } }
            StoreMode.LOSE_ANSWER_BEFORE_EFFECT -> queue += { reply(fault(call, unknown)) }
            StoreMode.LOSE_ANSWER_AFTER_EFFECT -> {
                apply(call)
                queue += { reply(fault(call, unknown)) }
            }
            StoreMode.LOSE_ANSWER_AND_HOLD -> {
                heldCalls += { apply(call) }
                queue += { reply(fault(call, unknown)) }
            }
        }
    }

    private fun conflict(current: VersionedValue?) =
        StoreFault.Conflict(current.takeIf { includesConflictValue }).left()

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
