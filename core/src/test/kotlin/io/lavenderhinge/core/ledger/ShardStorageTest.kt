package io.lavenderhinge.core.ledger

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeUnique
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import io.lavenderhinge.core.port.VersionedValue

/** Each test causes one of the failures of heads and segments that the ledger must handle. */
class ShardStorageTest :
    FunSpec({
        test("given an applied commit with a lost reply, when read back, then the key runs once") {
            val cluster = LedgerCluster()
            var isLost = false
            cluster.storeMode = {
                if (isHeadWrite(it) && !isLost) {
                    isLost = true
                    StoreMode.LOSE_ANSWER_AFTER_EFFECT
                } else StoreMode.NORMAL
            }
            cluster.begin(cluster.entry, 1, cluster.key("k"))
            cluster.dispatched shouldContainExactly listOf(1L)
            cluster.writtenValues.size shouldBe 1
        }

        test(
            "given a commit that was not applied, when read back, then the same write is retried"
        ) {
            val cluster = LedgerCluster()
            val writes = ArrayList<StoreCall.Write>()
            cluster.storeMode = {
                if (it is StoreCall.Write) writes += it
                if (writes.size == 1 && it is StoreCall.Write) StoreMode.LOSE_ANSWER_BEFORE_EFFECT
                else StoreMode.NORMAL
            }
            cluster.begin(cluster.entry, 1, cluster.key("k"))
            writes.map { it.value to it.expectedVersion }.toSet().size shouldBe 1
            cluster.dispatched shouldContainExactly listOf(1L)
        }

        test("given an expired key below the horizon, when repeated, then it is not run again") {
            val cluster = LedgerCluster(smallLimits)
            val key = cluster.key("k")
            cluster.runRequest(cluster.entry, 1, key, retentionMillis = 5_000)
            cluster.advance(10_000)
            cluster.runRequest(cluster.entry, 2, cluster.key("later"))
            cluster.runRequest(cluster.entry, 3, cluster.key("sealing"))
            cluster.head.open.map { it.key }.contains("workspace/k") shouldBe false
            cluster.begin(cluster.otherEntry, 4, key)
            cluster.advance(1_000)
            cluster.results[4] shouldBe LedgerResult.TooOld
            cluster.dispatched.count { it == 4L } shouldBe 0
        }

        test("given a raised horizon, when another writer loads the shard, then it is kept") {
            val cluster = LedgerCluster(smallLimits)
            val key = cluster.key("k")
            cluster.runRequest(cluster.entry, 1, key, retentionMillis = 5_000)
            cluster.advance(10_000)
            cluster.runRequest(cluster.entry, 2, cluster.key("later"))
            val horizonMillis = cluster.head.head.horizonMillis
            cluster.kill(cluster.writer)
            cluster.setLiveInstances(cluster.ids - cluster.writer)
            cluster.runRequest(cluster.otherEntry, 3, cluster.key("after"))
            (cluster.head.head.horizonMillis >= horizonMillis) shouldBe true
            cluster.begin(cluster.otherEntry, 4, key)
            cluster.advance(1_000)
            cluster.results[4] shouldBe LedgerResult.TooOld
        }

        test("given a crash between segment and head writes, when reloaded, then no key is lost") {
            val cluster = LedgerCluster(smallLimits)
            val keys = (1L..3L).associateWith { cluster.key("k$it") }
            var hasSegment = false
            cluster.storeMode = {
                if (it.key.contains("segment")) hasSegment = true
                if (hasSegment && isHeadWrite(it)) StoreMode.DOWN else StoreMode.NORMAL
            }
            for ((ticket, key) in keys) {
                cluster.begin(cluster.entry, ticket, key)
                cluster.advance(400)
                if (ticket !in cluster.dispatched) break
                cluster.answer(cluster.entry, ticket, "answer-$ticket")
                cluster.advance(400)
            }
            hasSegment shouldBe true
            cluster.kill(cluster.writer)
            cluster.setLiveInstances(cluster.ids - cluster.writer)
            cluster.storeMode = { StoreMode.NORMAL }
            cluster.advance(6_000)
            cluster.begin(cluster.otherEntry, 11, keys.getValue(1))
            cluster.advance(400)
            storedAnswer(cluster.results[11]) shouldBe "answer-1"
            (20L..30L).forEach { cluster.runRequest(cluster.otherEntry, it, cluster.key("n$it")) }
            cluster.logs.filter { it.isError } shouldBe emptyList()
        }

        test(
            "given a head write that may take effect late, then its segment's slot is not reused"
        ) {
            val cluster = LedgerCluster(smallLimits)
            var isFailing = false
            cluster.storeMode = {
                if (it.key.contains("segment") && it is StoreCall.Write) isFailing = true
                when {
                    !isFailing || it.key.contains("segment") -> StoreMode.NORMAL
                    isHeadWrite(it) -> StoreMode.LOSE_ANSWER_AND_HOLD
                    else -> StoreMode.DOWN
                }
            }
            var ticket = 0L
            while (!isFailing) {
                ticket++
                cluster.begin(cluster.entry, ticket, cluster.key("k$ticket"))
                cluster.advance(400)
                if (ticket in cluster.dispatched) cluster.answer(cluster.entry, ticket, "answer")
                cluster.advance(400)
            }
            // The head write that refers to the segment takes effect between the next segment
            // write and the next head write.
            cluster.storeMode = {
                if (it.key.contains("segment")) cluster.enqueueHeld()
                StoreMode.NORMAL
            }
            cluster.advance(600)
            (100L..104L).forEach {
                cluster.begin(cluster.entry, it, cluster.key("n$it"))
                cluster.advance(1_000)
            }
            cluster.logs.filter { it.isError } shouldBe emptyList()
            cluster.kill(cluster.writer)
            cluster.setLiveInstances(cluster.ids - cluster.writer)
            cluster.runRequest(cluster.otherEntry, 200, cluster.key("last"))
            cluster.logs.filter { it.isError } shouldBe emptyList()
        }

        test("given many sealed heads, then segments are merged while they fit in a value") {
            val cluster = LedgerCluster(smallLimits)
            val first = cluster.key("k1")
            cluster.runRequest(cluster.entry, 1, first)
            (2L..60L).forEach { cluster.runRequest(cluster.entry, it, cluster.key("k$it")) }
            (cluster.head.head.segments.size <= 3) shouldBe true
            cluster.begin(cluster.otherEntry, 100, first)
            cluster.advance(1_000)
            storedAnswer(cluster.results[100]) shouldBe "answer-1"
        }

        test("given a conflict without the current value, then the slot is read back and reused") {
            val cluster = LedgerCluster(smallLimits)
            cluster.includesConflictValue = false
            // Another writer left a segment in the first slot that no head refers to.
            val slot = ShardMapping.segmentKey(0, 0)
            cluster.values[slot] = VersionedValue(slot, "orphan", 7)
            (1L..8L).forEach { cluster.runRequest(cluster.entry, it, cluster.key("k$it")) }
            cluster.head.head.segments.any { it.slot == 0 } shouldBe true
            cluster.logs shouldBe emptyList()
        }

        test("given a failed segment write, then no head refers to it and no key is lost") {
            val cluster = LedgerCluster(smallLimits)
            cluster.storeMode = {
                if (it is StoreCall.Write && it.key.contains("segment")) {
                    StoreMode.LOSE_ANSWER_BEFORE_EFFECT
                } else StoreMode.NORMAL
            }
            val key = cluster.key("k1")
            cluster.runRequest(cluster.entry, 1, key)
            cluster.begin(cluster.entry, 2, cluster.key("k2"))
            cluster.advance(1_000)
            cluster.storeMode = { StoreMode.NORMAL }
            cluster.head.head.segments shouldBe emptyList()
            cluster.kill(cluster.writer)
            cluster.setLiveInstances(cluster.ids - cluster.writer)
            cluster.begin(cluster.otherEntry, 3, key)
            cluster.advance(1_000)
            storedAnswer(cluster.results[3]) shouldBe "answer-1"
        }

        test("given a shard unloaded and reloaded by one process, then its commit ids are unique") {
            val cluster = LedgerCluster()
            cluster.runRequest(cluster.entry, 1, cluster.key("k1"))
            cluster.setLiveInstances(cluster.ids - cluster.writer)
            cluster.runRequest(cluster.otherEntry, 2, cluster.key("k2"))
            cluster.advance(2_000)
            cluster.wakeAll()
            cluster.setLiveInstances(cluster.ids)
            cluster.runRequest(cluster.entry, 3, cluster.key("k3"))
            cluster.writtenValues.map { ShardCodec.decodeHead(it).head.commitId }.shouldBeUnique()
            cluster.dispatched shouldContain 3L
        }
    })

/** Two records are enough to seal a head, and every commit updates the horizon. */
private val smallLimits =
    LedgerLimits(
        shardCount = 1,
        sealThresholdBytes = 250,
        maxValueBytes = 16_000,
        maxAnswerBytes = 600,
        expiryIntervalMillis = 0,
    )
