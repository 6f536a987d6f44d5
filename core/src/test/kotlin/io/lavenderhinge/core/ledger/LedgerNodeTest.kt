package io.lavenderhinge.core.ledger

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.maps.shouldNotContainKey
import io.kotest.matchers.shouldBe

/** Each test causes one of the failures of instances and messages that the ledger must handle. */
class LedgerNodeTest :
    FunSpec({
        test("given an intent write that is still under way, then nothing is dispatched") {
            val cluster = LedgerCluster()
            cluster.storeMode = { if (isHeadWrite(it)) StoreMode.HOLD else StoreMode.NORMAL }
            cluster.begin(cluster.entry, 1, cluster.key("k"))
            cluster.dispatched shouldBe emptyList()
            cluster.releaseHeld()
            cluster.dispatched shouldContainExactly listOf(1L)
        }

        test("given an answered key, when repeated at another entry, then it is not run again") {
            val cluster = LedgerCluster()
            val key = cluster.key("k")
            cluster.runRequest(cluster.entry, 1, key)
            cluster.begin(cluster.otherEntry, 2, key)
            storedAnswer(cluster.results[2]) shouldBe "answer-1"
            cluster.dispatched shouldContainExactly listOf(1L)
        }

        test("given a store outage, when a request arrives, then it gets not-run immediately") {
            val cluster = LedgerCluster()
            cluster.storeMode = { StoreMode.DOWN }
            cluster.begin(cluster.entry, 1, cluster.key("k"))
            notRunReason(cluster.results[1]) shouldBe NotRunReason.PLATFORM_UNAVAILABLE
            cluster.begin(cluster.entry, 2, cluster.key("k"))
            notRunReason(cluster.results[2]) shouldBe NotRunReason.PLATFORM_UNAVAILABLE
            cluster.storeMode = { StoreMode.NORMAL }
            cluster.advance(1_000)
            cluster.runRequest(cluster.entry, 3, cluster.key("k"))
        }

        test("given a stalled store, when its write takes effect late, then not-run remains true") {
            val cluster = LedgerCluster()
            val key = cluster.key("k")
            cluster.storeMode = { if (isHeadWrite(it)) StoreMode.HOLD else StoreMode.NORMAL }
            cluster.begin(cluster.entry, 1, key)
            cluster.advance(2_500)
            notRunReason(cluster.results[1]) shouldBe NotRunReason.PLATFORM_UNAVAILABLE
            cluster.storeMode = { StoreMode.NORMAL }
            cluster.releaseHeld()
            cluster.begin(cluster.otherEntry, 2, key)
            cluster.advance(1_000)
            cluster.dispatched shouldContainExactly listOf(2L)
        }

        test("given a paused writer, when another takes over, then the late write has no effect") {
            val cluster = LedgerCluster()
            val key = cluster.key("k")
            cluster.storeMode = { if (isHeadWrite(it)) StoreMode.HOLD else StoreMode.NORMAL }
            cluster.begin(cluster.entry, 1, key)
            cluster.pause(cluster.writer)
            cluster.storeMode = { StoreMode.NORMAL }
            cluster.setLiveInstances(cluster.ids - cluster.writer, exceptId = cluster.writer)
            cluster.begin(cluster.otherEntry, 2, key)
            cluster.dispatched shouldContainExactly listOf(2L)
            cluster.releaseHeld()
            cluster.resume(cluster.writer)
            cluster.advance(1_000)
            cluster.answer(cluster.otherEntry, 2, "answer")
            cluster.advance(1_000)
            storedAnswer(cluster.results[1]) shouldBe "answer"
            cluster.dispatched shouldContainExactly listOf(2L)
        }

        test("given a writer killed before its reply, when the entry resends, then it runs once") {
            val cluster = LedgerCluster()
            cluster.isDropped = { _, message -> isRecorded(message) }
            cluster.begin(cluster.entry, 1, cluster.key("k"))
            cluster.kill(cluster.writer)
            cluster.setLiveInstances(cluster.ids - cluster.writer)
            cluster.isDropped = { _, _ -> false }
            cluster.advance(1_000)
            cluster.dispatched shouldContainExactly listOf(1L)
        }

        test("given an entry killed before its dispatch, when repeated, then unknown is returned") {
            val cluster = LedgerCluster()
            val key = cluster.key("k")
            cluster.isDropped = { _, message -> isRecorded(message) }
            cluster.begin(cluster.entry, 1, key)
            cluster.kill(cluster.entry)
            cluster.begin(cluster.otherEntry, 2, key)
            cluster.advance(1_000)
            unknownReason(cluster.results[2]) shouldBe UnknownReason.IN_DOUBT
            cluster.dispatched shouldBe emptyList()
        }

        test(
            "given an entry killed and restarted after its dispatch, when repeated, then unknown"
        ) {
            val cluster = LedgerCluster()
            val key = cluster.key("k")
            cluster.begin(cluster.entry, 1, key)
            cluster.dispatched shouldContainExactly listOf(1L)
            cluster.kill(cluster.entry)
            cluster.restart(cluster.entry)
            cluster.begin(cluster.entry, 2, cluster.key("another"))
            cluster.begin(cluster.otherEntry, 3, key)
            cluster.advance(1_000)
            unknownReason(cluster.results[3]) shouldBe UnknownReason.IN_DOUBT
            cluster.dispatched.count { it == 3L } shouldBe 0
        }

        test("given a request in flight, when repeated at another entry, then the repeat waits") {
            val cluster = LedgerCluster()
            val key = cluster.key("k")
            cluster.begin(cluster.entry, 1, key)
            cluster.begin(cluster.otherEntry, 2, key)
            cluster.advance(1_000)
            cluster.results shouldNotContainKey 2
            cluster.answer(cluster.entry, 1, "answer")
            cluster.advance(1_000)
            storedAnswer(cluster.results[2]) shouldBe "answer"
        }

        test("given a request in flight past the repeat's deadline, then the repeat gets unknown") {
            val cluster = LedgerCluster()
            val key = cluster.key("k")
            cluster.begin(cluster.entry, 1, key)
            cluster.begin(cluster.otherEntry, 2, key)
            cluster.advance(11_000)
            unknownReason(cluster.results[2]) shouldBe UnknownReason.IN_FLIGHT
        }

        test("given a lost Recorded reply, when the entry resends, then it dispatches once") {
            val cluster = LedgerCluster()
            var dropped = 0
            cluster.isDropped = { _, message -> isRecorded(message) && dropped++ == 0 }
            cluster.begin(cluster.entry, 1, cluster.key("k"))
            cluster.dispatched shouldBe emptyList()
            cluster.advance(1_000)
            cluster.dispatched shouldContainExactly listOf(1L)
        }

        test("given a Recorded reply after not-run was returned, then nothing is dispatched") {
            val cluster = LedgerCluster()
            cluster.isDropped = { _, message -> isRecorded(message) }
            cluster.begin(cluster.entry, 1, cluster.key("k"))
            cluster.advance(6_000)
            notRunReason(cluster.results[1]) shouldBe NotRunReason.WRITER_UNREACHABLE
            cluster.deliverDropped()
            cluster.dispatched shouldBe emptyList()
            cluster.logs shouldBe emptyList()
        }

        test("given a used key, when repeated with another body, then the request is rejected") {
            val cluster = LedgerCluster()
            val key = cluster.key("k")
            cluster.runRequest(cluster.entry, 1, key)
            cluster.begin(cluster.otherEntry, 2, key, bodyHash = "other")
            cluster.results[2] shouldBe LedgerResult.Mismatch
            cluster.dispatched shouldContainExactly listOf(1L)
        }

        test(
            "given an abandoned attempt, when its key is repeated, then it runs only after a write"
        ) {
            val cluster = LedgerCluster()
            val key = cluster.key("k")
            cluster.isDropped = { _, message ->
                isRecorded(message) || message is LedgerMessage.Void
            }
            cluster.begin(cluster.entry, 1, key)
            cluster.advance(6_000)
            notRunReason(cluster.results[1]) shouldBe NotRunReason.WRITER_UNREACHABLE
            cluster.isDropped = { _, _ -> false }
            cluster.storeMode = { if (isHeadWrite(it)) StoreMode.HOLD else StoreMode.NORMAL }
            cluster.begin(cluster.otherEntry, 2, key)
            cluster.advance(300)
            cluster.dispatched shouldBe emptyList()
            cluster.releaseHeld()
            cluster.dispatched shouldContainExactly listOf(2L)
        }

        test("given a dispatch that sent nothing, when its key is repeated, then it runs") {
            val cluster = LedgerCluster()
            val key = cluster.key("k")
            cluster.begin(cluster.entry, 1, key)
            cluster.endDispatch(cluster.entry, 1, DispatchOutcome.NeverSent("no server"))
            notRunReason(cluster.results[1]) shouldBe NotRunReason.NEVER_SENT
            cluster.runRequest(cluster.otherEntry, 2, key)
        }

        test(
            "given a head read under way, when a completion arrives, then it waits for a later read"
        ) {
            val cluster = LedgerCluster()
            val key = cluster.key("k")
            val others = cluster.ids - cluster.writer
            cluster.isDropped = { _, message ->
                isRecorded(message) || message is LedgerMessage.Void
            }
            cluster.begin(cluster.entry, 1, key)
            cluster.advance(6_000)
            cluster.isDropped = { _, _ -> false }
            // The second writer records key x; its completion makes the first writer read the head.
            cluster.setLiveInstances(others, exceptId = cluster.writer)
            cluster.begin(cluster.otherEntry, 2, cluster.key("x"))
            cluster.setLiveInstances(cluster.ids)
            cluster.storeMode = { StoreMode.HOLD_ANSWER }
            cluster.answer(cluster.otherEntry, 2, "answer")
            cluster.storeMode = { StoreMode.NORMAL }
            // Meanwhile the second writer releases the abandoned key and another attempt runs.
            cluster.setLiveInstances(others, exceptId = cluster.writer)
            cluster.begin(cluster.otherEntry, 3, key)
            cluster.advance(300)
            cluster.dispatched shouldContain 3L
            cluster.setLiveInstances(cluster.ids)
            cluster.answer(cluster.otherEntry, 3, "answer-3")
            cluster.releaseHeld()
            cluster.advance(1_000)
            cluster.logs.filter { it.isError } shouldBe emptyList()
            cluster.begin(cluster.entry, 4, key)
            cluster.advance(1_000)
            storedAnswer(cluster.results[4]) shouldBe "answer-3"
        }
    })
