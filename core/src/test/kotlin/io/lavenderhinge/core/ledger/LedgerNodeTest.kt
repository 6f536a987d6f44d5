package io.lavenderhinge.core.ledger

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeUnique
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.maps.shouldNotContainKey
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf

/** Each test produces one failure that the ledger is meant for. */
class LedgerNodeTest :
    FunSpec({
        fun isHeadWrite(call: StoreCall) = call is StoreCall.Write && call.key.endsWith("head")
        fun isRecorded(message: LedgerMessage) =
            message is LedgerMessage.Reply && message.outcome is LedgerOutcome.Recorded
        fun stored(result: LedgerResult?) =
            result.shouldBeInstanceOf<LedgerResult.Stored>().answer.body.decodeToString()
        fun unknown(result: LedgerResult?) =
            result.shouldBeInstanceOf<LedgerResult.Unknown>().reason
        fun notRun(result: LedgerResult?) = result.shouldBeInstanceOf<LedgerResult.NotRun>().reason

        test("given a slow intent write, when it is under way, then nothing is dispatched") {
            val world = LedgerWorld()
            world.storeMode = { if (isHeadWrite(it)) StoreMode.HOLD else StoreMode.NORMAL }
            world.begin(world.entry, 1, world.key("k"))
            world.dispatched shouldBe emptyList()
            world.releaseHeld()
            world.dispatched shouldContainExactly listOf(1L)
        }

        test("given an answered key, when repeated through another entry, then it is not run") {
            val world = LedgerWorld()
            val key = world.key("k")
            world.run(world.entry, 1, key)
            world.begin(world.otherEntry, 2, key)
            stored(world.results[2]) shouldBe "answer-1"
            world.dispatched shouldContainExactly listOf(1L)
        }

        test("given a commit whose answer is lost, when read back, then the key runs once") {
            val world = LedgerWorld()
            var isLost = false
            world.storeMode = {
                if (isHeadWrite(it) && !isLost) {
                    isLost = true
                    StoreMode.LOSE_ANSWER_AFTER_EFFECT
                } else StoreMode.NORMAL
            }
            world.begin(world.entry, 1, world.key("k"))
            world.dispatched shouldContainExactly listOf(1L)
            world.writtenValues.size shouldBe 1
        }

        test("given a commit that was lost, when read back, then the same content is repeated") {
            val world = LedgerWorld()
            val writes = ArrayList<StoreCall.Write>()
            world.storeMode = {
                if (it is StoreCall.Write) writes += it
                if (writes.size == 1 && it is StoreCall.Write) StoreMode.LOSE_ANSWER_BEFORE_EFFECT
                else StoreMode.NORMAL
            }
            world.begin(world.entry, 1, world.key("k"))
            writes.map { it.value to it.expectedVersion }.toSet().size shouldBe 1
            world.dispatched shouldContainExactly listOf(1L)
        }

        test("given an outage, when a request comes, then it gets not-run at once") {
            val world = LedgerWorld()
            world.storeMode = { StoreMode.DOWN }
            world.begin(world.entry, 1, world.key("k"))
            notRun(world.results[1]) shouldBe NotRunReason.PLATFORM_UNAVAILABLE
            world.begin(world.entry, 2, world.key("k"))
            notRun(world.results[2]) shouldBe NotRunReason.PLATFORM_UNAVAILABLE
            world.storeMode = { StoreMode.NORMAL }
            world.advance(1_000)
            world.run(world.entry, 3, world.key("k"))
        }

        test("given a store that hangs, when its write lands late, then not-run stays true") {
            val world = LedgerWorld()
            val key = world.key("k")
            world.storeMode = { if (isHeadWrite(it)) StoreMode.HOLD else StoreMode.NORMAL }
            world.begin(world.entry, 1, key)
            world.advance(2_500)
            notRun(world.results[1]) shouldBe NotRunReason.PLATFORM_UNAVAILABLE
            world.storeMode = { StoreMode.NORMAL }
            world.releaseHeld()
            world.begin(world.otherEntry, 2, key)
            world.advance(1_000)
            world.dispatched shouldContainExactly listOf(2L)
        }

        test("given a paused writer, when another took over, then its late write changes nothing") {
            val world = LedgerWorld()
            val key = world.key("k")
            world.storeMode = { if (isHeadWrite(it)) StoreMode.HOLD else StoreMode.NORMAL }
            world.begin(world.entry, 1, key)
            world.pause(world.writer)
            world.storeMode = { StoreMode.NORMAL }
            world.view(world.ids - world.writer, exceptId = world.writer)
            world.begin(world.otherEntry, 2, key)
            world.dispatched shouldContainExactly listOf(2L)
            world.releaseHeld()
            world.resume(world.writer)
            world.advance(1_000)
            world.answer(world.otherEntry, 2, "answer")
            world.advance(1_000)
            stored(world.results[1]) shouldBe "answer"
            world.dispatched shouldContainExactly listOf(2L)
        }

        test("given a writer killed before its reply, when resent to the next, then it runs once") {
            val world = LedgerWorld()
            world.isDropped = { _, message -> isRecorded(message) }
            world.begin(world.entry, 1, world.key("k"))
            world.kill(world.writer)
            world.view(world.ids - world.writer)
            world.isDropped = { _, _ -> false }
            world.advance(1_000)
            world.dispatched shouldContainExactly listOf(1L)
        }

        test("given an entry killed before its dispatch, when repeated, then it is unknown") {
            val world = LedgerWorld()
            val key = world.key("k")
            world.isDropped = { _, message -> isRecorded(message) }
            world.begin(world.entry, 1, key)
            world.kill(world.entry)
            world.begin(world.otherEntry, 2, key)
            world.advance(1_000)
            unknown(world.results[2]) shouldBe UnknownReason.IN_DOUBT
            world.dispatched shouldBe emptyList()
        }

        test(
            "given an entry killed after its dispatch and restarted, when repeated, then unknown"
        ) {
            val world = LedgerWorld()
            val key = world.key("k")
            world.begin(world.entry, 1, key)
            world.dispatched shouldContainExactly listOf(1L)
            world.kill(world.entry)
            world.restart(world.entry)
            world.begin(world.entry, 2, world.key("another"))
            world.begin(world.otherEntry, 3, key)
            world.advance(1_000)
            unknown(world.results[3]) shouldBe UnknownReason.IN_DOUBT
            world.dispatched.count { it == 3L } shouldBe 0
        }

        test("given a request in flight, when repeated elsewhere, then the repeat waits for it") {
            val world = LedgerWorld()
            val key = world.key("k")
            world.begin(world.entry, 1, key)
            world.begin(world.otherEntry, 2, key)
            world.advance(1_000)
            world.results shouldNotContainKey 2
            world.answer(world.entry, 1, "answer")
            world.advance(1_000)
            stored(world.results[2]) shouldBe "answer"
        }

        test("given a request in flight past the repeat's deadline, then the repeat is unknown") {
            val world = LedgerWorld()
            val key = world.key("k")
            world.begin(world.entry, 1, key)
            world.begin(world.otherEntry, 2, key)
            world.advance(11_000)
            unknown(world.results[2]) shouldBe UnknownReason.IN_FLIGHT
        }

        test("given a lost Recorded, when the entry asks again, then it dispatches once") {
            val world = LedgerWorld()
            var dropped = 0
            world.isDropped = { _, message -> isRecorded(message) && dropped++ == 0 }
            world.begin(world.entry, 1, world.key("k"))
            world.dispatched shouldBe emptyList()
            world.advance(1_000)
            world.dispatched shouldContainExactly listOf(1L)
        }

        test("given a Recorded that comes after not-run was told, then nothing is dispatched") {
            val world = LedgerWorld()
            world.isDropped = { _, message -> isRecorded(message) }
            world.begin(world.entry, 1, world.key("k"))
            world.advance(6_000)
            notRun(world.results[1]) shouldBe NotRunReason.WRITER_UNREACHABLE
            world.deliverDropped()
            world.dispatched shouldBe emptyList()
            world.reports shouldBe emptyList()
        }

        test("given a key, when another body comes with it, then it is refused") {
            val world = LedgerWorld()
            val key = world.key("k")
            world.run(world.entry, 1, key)
            world.begin(world.otherEntry, 2, key, bodyHash = "other")
            world.results[2] shouldBe LedgerResult.Mismatch
            world.dispatched shouldContainExactly listOf(1L)
        }

        test("given an abandoned attempt, when its key is repeated, then a write frees it first") {
            val world = LedgerWorld()
            val key = world.key("k")
            world.isDropped = { _, message -> isRecorded(message) || message is LedgerMessage.Void }
            world.begin(world.entry, 1, key)
            world.advance(6_000)
            notRun(world.results[1]) shouldBe NotRunReason.WRITER_UNREACHABLE
            world.isDropped = { _, _ -> false }
            world.storeMode = { if (isHeadWrite(it)) StoreMode.HOLD else StoreMode.NORMAL }
            world.begin(world.otherEntry, 2, key)
            world.advance(300)
            world.dispatched shouldBe emptyList()
            world.releaseHeld()
            world.dispatched shouldContainExactly listOf(2L)
        }

        test("given a dispatch that sent nothing, when its key is repeated, then it runs") {
            val world = LedgerWorld()
            val key = world.key("k")
            world.begin(world.entry, 1, key)
            world.end(world.entry, 1, DispatchOutcome.NeverSent("no server"))
            notRun(world.results[1]) shouldBe NotRunReason.NEVER_SENT
            world.run(world.otherEntry, 2, key)
        }

        test("given an expired key, when the horizon has passed it, then it is not run again") {
            val world = LedgerWorld(smallLimits)
            val key = world.key("k")
            world.run(world.entry, 1, key, retentionMillis = 5_000)
            world.advance(10_000)
            world.run(world.entry, 2, world.key("later"))
            world.run(world.entry, 3, world.key("sealing"))
            world.head.open.map { it.key }.contains("workspace/k") shouldBe false
            world.begin(world.otherEntry, 4, key)
            world.advance(1_000)
            world.results[4] shouldBe LedgerResult.TooOld
            world.dispatched.count { it == 4L } shouldBe 0
        }

        test("given a horizon, when a successor loads the shard, then it keeps the horizon") {
            val world = LedgerWorld(smallLimits)
            val key = world.key("k")
            world.run(world.entry, 1, key, retentionMillis = 5_000)
            world.advance(10_000)
            world.run(world.entry, 2, world.key("later"))
            val horizonMillis = world.head.head.horizonMillis
            world.kill(world.writer)
            world.view(world.ids - world.writer)
            world.run(world.otherEntry, 3, world.key("after"))
            (world.head.head.horizonMillis >= horizonMillis) shouldBe true
            world.begin(world.otherEntry, 4, key)
            world.advance(1_000)
            world.results[4] shouldBe LedgerResult.TooOld
        }

        test("given a crash between segment and head, when loaded again, then no key is lost") {
            val world = LedgerWorld(smallLimits)
            val keys = (1L..3L).associateWith { world.key("k$it") }
            var hasSegment = false
            world.storeMode = {
                if (it.key.contains("segment")) hasSegment = true
                if (hasSegment && isHeadWrite(it)) StoreMode.DOWN else StoreMode.NORMAL
            }
            for ((ticket, key) in keys) {
                world.begin(world.entry, ticket, key)
                world.advance(400)
                if (ticket !in world.dispatched) break
                world.answer(world.entry, ticket, "answer-$ticket")
                world.advance(400)
            }
            hasSegment shouldBe true
            world.kill(world.writer)
            world.view(world.ids - world.writer)
            world.storeMode = { StoreMode.NORMAL }
            world.advance(6_000)
            world.begin(world.otherEntry, 11, keys.getValue(1))
            world.advance(400)
            stored(world.results[11]) shouldBe "answer-1"
            (20L..30L).forEach { world.run(world.otherEntry, it, world.key("n$it")) }
            world.reports.filter { it.serious } shouldBe emptyList()
        }

        test("given a late head write, when its segment's slot is free, then it is not reused") {
            val world = LedgerWorld(smallLimits)
            var isFailing = false
            world.storeMode = {
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
                world.begin(world.entry, ticket, world.key("k$ticket"))
                world.advance(400)
                if (ticket in world.dispatched) world.answer(world.entry, ticket, "answer")
                world.advance(400)
            }
            // The head write that refers to the segment takes effect between the next segment
            // write and the next head write.
            world.storeMode = {
                if (it.key.contains("segment")) world.releaseHeldSoon()
                StoreMode.NORMAL
            }
            world.advance(600)
            (100L..104L).forEach {
                world.begin(world.entry, it, world.key("n$it"))
                world.advance(1_000)
            }
            world.reports.filter { it.serious } shouldBe emptyList()
            world.kill(world.writer)
            world.view(world.ids - world.writer)
            world.run(world.otherEntry, 200, world.key("last"))
            world.reports.filter { it.serious } shouldBe emptyList()
        }

        test(
            "given a head read under way, when a completion arrives, then it waits for a later one"
        ) {
            val world = LedgerWorld()
            val key = world.key("k")
            val others = world.ids - world.writer
            world.isDropped = { _, message -> isRecorded(message) || message is LedgerMessage.Void }
            world.begin(world.entry, 1, key)
            world.advance(6_000)
            world.isDropped = { _, _ -> false }
            // The next writer records key x; its completion makes the first writer read the head.
            world.view(others, exceptId = world.writer)
            world.begin(world.otherEntry, 2, world.key("x"))
            world.view(world.ids)
            world.storeMode = { StoreMode.HOLD_ANSWER }
            world.answer(world.otherEntry, 2, "answer")
            world.storeMode = { StoreMode.NORMAL }
            // Meanwhile the next writer frees the abandoned key and another attempt runs.
            world.view(others, exceptId = world.writer)
            world.begin(world.otherEntry, 3, key)
            world.advance(300)
            world.dispatched shouldContain 3L
            world.view(world.ids)
            world.answer(world.otherEntry, 3, "answer-3")
            world.releaseHeld()
            world.advance(1_000)
            world.reports.filter { it.serious } shouldBe emptyList()
            world.begin(world.entry, 4, key)
            world.advance(1_000)
            stored(world.results[4]) shouldBe "answer-3"
        }

        test("given many seals, when the latest segment has room, then it is extended") {
            val world = LedgerWorld(smallLimits)
            val first = world.key("k1")
            world.run(world.entry, 1, first)
            (2L..60L).forEach { world.run(world.entry, it, world.key("k$it")) }
            (world.head.head.segments.size <= 3) shouldBe true
            world.begin(world.otherEntry, 100, first)
            world.advance(1_000)
            stored(world.results[100]) shouldBe "answer-1"
        }

        test("given a conflict that names no value, then the slot and the head are read") {
            val world = LedgerWorld(smallLimits)
            world.isConflictTold = false
            (1L..4L).forEach { world.run(world.entry, it, world.key("k$it")) }
            world.view(world.ids - world.writer)
            (5L..9L).forEach { world.run(world.otherEntry, it, world.key("k$it")) }
            world.view(world.ids)
            (10L..14L).forEach { world.run(world.otherEntry, it, world.key("k$it")) }
            world.dispatched.toSet() shouldBe (1L..14L).toSet()
            world.reports shouldBe emptyList()
        }

        test("given a segment write that fails, then no head refers to it and nothing is lost") {
            val world = LedgerWorld(smallLimits)
            world.storeMode = {
                if (it is StoreCall.Write && it.key.contains("segment")) {
                    StoreMode.LOSE_ANSWER_BEFORE_EFFECT
                } else StoreMode.NORMAL
            }
            val key = world.key("k1")
            world.run(world.entry, 1, key)
            world.begin(world.entry, 2, world.key("k2"))
            world.advance(1_000)
            world.storeMode = { StoreMode.NORMAL }
            world.head.head.segments shouldBe emptyList()
            world.kill(world.writer)
            world.view(world.ids - world.writer)
            world.begin(world.otherEntry, 3, key)
            world.advance(1_000)
            stored(world.results[3]) shouldBe "answer-1"
        }

        test("given a shard taken up twice by one process, then its commit ids differ") {
            val world = LedgerWorld()
            world.run(world.entry, 1, world.key("k1"))
            world.view(world.ids - world.writer)
            world.run(world.otherEntry, 2, world.key("k2"))
            world.advance(2_000)
            world.dropUnused()
            world.view(world.ids)
            world.run(world.entry, 3, world.key("k3"))
            world.writtenValues.map { ShardCodec.decodeHead(it).head.commitId }.shouldBeUnique()
            world.dispatched shouldContain 3L
        }
    })

/** A head of two records is sealed; the horizon is looked at with every commit. */
private val smallLimits =
    LedgerLimits(
        shardCount = 1,
        sealBytes = 250,
        valueBytes = 16_000,
        answerBytes = 600,
        expiryIntervalMillis = 0,
    )
