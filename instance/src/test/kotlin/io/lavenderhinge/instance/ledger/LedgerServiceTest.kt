package io.lavenderhinge.instance.ledger

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.lavenderhinge.core.ledger.DispatchOutcome
import io.lavenderhinge.core.ledger.IdempotencyKey
import io.lavenderhinge.core.ledger.LedgerAnswer
import io.lavenderhinge.core.ledger.LedgerRequest
import io.lavenderhinge.core.ledger.LedgerResult
import io.lavenderhinge.core.ledger.NotRunReason
import io.lavenderhinge.core.ledger.ShardMapping
import io.lavenderhinge.core.ledger.UnknownReason
import io.lavenderhinge.core.port.KeyValueStore
import io.lavenderhinge.core.port.StoreFault
import io.lavenderhinge.core.port.VersionedValue
import io.lavenderhinge.instance.control.ControlThread
import io.lavenderhinge.instance.peer.FrameReceiver
import io.lavenderhinge.instance.peer.PeerLinks
import io.lavenderhinge.protocol.v1.Frame
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.coroutineScope

private class InMemoryStore : KeyValueStore {
    private val values = ConcurrentHashMap<String, VersionedValue>()
    @Volatile var isDown = false
    @Volatile var beforeWrite: suspend () -> Unit = {}

    private val down = StoreFault.Unavailable("down").left()

    override suspend fun get(key: String) = if (isDown) down else values[key].right()

    override suspend fun compareAndSwap(
        key: String,
        expectedVersion: Long,
        value: String,
        leaseId: String?,
    ): Either<StoreFault, Long> {
        if (isDown) return down
        beforeWrite()
        return synchronized(values) {
            val current = values[key]
            if ((current?.version ?: 0) != expectedVersion) StoreFault.Conflict(current).left()
            else {
                values[key] = VersionedValue(key, value, expectedVersion + 1)
                (expectedVersion + 1).right()
            }
        }
    }

    override suspend fun list(prefix: String) = error("unused")

    override suspend fun watch(prefix: String, afterRevision: Long, waitMillis: Long) =
        error("unused")

    override suspend fun grantLease(timeToLiveMillis: Long) = error("unused")

    override suspend fun renewLease(leaseId: String) = error("unused")
}

/** Links that deliver each frame, serialized, on the control thread of the receiver. */
private class InMemoryLinks(override val selfId: String, val peers: Map<String, Instance>) :
    PeerLinks {
    val receivers = ArrayList<FrameReceiver>()

    override fun send(instanceId: String, frame: Frame): Boolean {
        val peer = peers[instanceId] ?: return false
        val bytes = frame.toByteArray()
        peer.control.execute {
            peer.links.receivers.forEach { it.receive(selfId, Frame.parseFrom(bytes)) }
        }
        return true
    }

    override fun onFrame(receiver: FrameReceiver) {
        receivers += receiver
    }

    override fun onLinkLost(listener: (instanceId: String) -> Unit) = Unit
}

private class Instance(id: String, peers: Map<String, Instance>, store: KeyValueStore) {
    val control = ControlThread()
    val links = InMemoryLinks(id, peers)
    private val live = listOf("a", "b", "c")
    val ledger = LedgerService(control, links, store) { live }
}

class LedgerServiceTest :
    FunSpec({
        val store = InMemoryStore()
        val instances = ConcurrentHashMap<String, Instance>()
        listOf("a", "b", "c").forEach { instances[it] = Instance(it, instances, store) }
        afterSpec { instances.values.forEach { it.control.close() } }
        beforeTest {
            store.isDown = false
            store.beforeWrite = {}
        }
        val ledger = instances.getValue("a").ledger
        val other = instances.getValue("b").ledger
        val answer = LedgerAnswer(201, "application/json", "{}".toByteArray())

        fun request(name: String): LedgerRequest {
            val now = System.currentTimeMillis()
            return LedgerRequest(IdempotencyKey("w", name, now), "hash", 600_000, now + 5_000)
        }

        test("given a new key, when repeated at another entry, then answer and expiry are stored") {
            val request = request("stored")
            val first = ledger.execute(request) { DispatchOutcome.Answered(answer) }
            val second = other.execute(request) { error("must not run") }
            val expiresAtMillis = request.key.createdAtMillis!! + 600_000
            first shouldBe LedgerResult.Answered(answer, expiresAtMillis)
            second shouldBe LedgerResult.Stored(answer, expiresAtMillis)
        }

        test("given many concurrent callers with one key, then it is dispatched once") {
            val request = request("crowd")
            val dispatches = AtomicInteger()
            coroutineScope {
                (1..30)
                    .map { n ->
                        async {
                            (if (n % 2 == 0) ledger else other).execute(request) {
                                dispatches.incrementAndGet()
                                DispatchOutcome.Answered(answer)
                            }
                        }
                    }
                    .awaitAll()
            }
            dispatches.get() shouldBe 1
        }

        test("given a store outage, then the caller gets not-run and nothing is dispatched") {
            store.isDown = true
            val result = ledger.execute(request("down")) { error("must not run") }
            result.shouldBeInstanceOf<LedgerResult.NotRun>().reason shouldBe
                NotRunReason.PLATFORM_UNAVAILABLE
        }

        test("given a dispatch that throws, then the outcome is unknown") {
            val key =
                generateSequence(0) { it + 1 }.map { "throws-$it" }.first { isOutsideDownShard(it) }
            val result = ledger.execute(request(key)) { error("connection reset") }
            result.shouldBeInstanceOf<LedgerResult.Unknown>().reason shouldBe
                UnknownReason.ANSWER_LOST
        }

        test("given a caller that disconnects before the dispatch, then its key can be reused") {
            val name =
                generateSequence(0) { it + 1 }.map { "leaves-$it" }.first { isOutsideDownShard(it) }
            val request = request(name)
            val isWriting = CompletableDeferred<Unit>()
            val mayWrite = CompletableDeferred<Unit>()
            store.beforeWrite = {
                isWriting.complete(Unit)
                mayWrite.await()
            }
            coroutineScope {
                val leaving = async { ledger.execute(request) { error("must not run") } }
                isWriting.await()
                leaving.cancelAndJoin()
            }
            mayWrite.complete(Unit)
            other
                .execute(request) { DispatchOutcome.Answered(answer) }
                .shouldBeInstanceOf<LedgerResult.Answered>()
        }
    })

/** After the outage test, the shard of "w/down" rejects requests until its next probe. */
private fun isOutsideDownShard(name: String): Boolean =
    ShardMapping.shardOf("w/$name", 16) != ShardMapping.shardOf("w/down", 16)
