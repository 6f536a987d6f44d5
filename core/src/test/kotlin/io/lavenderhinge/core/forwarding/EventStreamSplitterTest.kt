package io.lavenderhinge.core.forwarding

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe

class EventStreamSplitterTest :
    FunSpec({
        fun split(vararg chunks: String): Pair<List<String>, Boolean> {
            val splitter = EventStreamSplitter()
            val events = chunks.flatMap { splitter.accept(it.toByteArray()) }
            return events.map { "${it.id}:${String(it.bytes)}" } to splitter.hasPartialEvent
        }

        test("given two events in one chunk, then both are returned with their ids") {
            split("id: 1\ndata: a\n\nid: 2\ndata: b\n\n") shouldBe
                (listOf("1:id: 1\ndata: a\n\n", "2:id: 2\ndata: b\n\n") to false)
        }

        // Guards against sending a partial event to a client whose stream is resumed elsewhere.
        test("given an incomplete event, then it is buffered") {
            split("id: 1\ndata: a\n\nid: 2\nda") shouldBe (listOf("1:id: 1\ndata: a\n\n") to true)
        }

        // Guards against a stalled server whose comments count as progress.
        test("given comments, then they are not taken for an event with content") {
            val events = EventStreamSplitter().accept(": wait\n\nid: 1\ndata: a\n\n".toByteArray())

            events.map { it.isComment } shouldBe listOf(true, false)
        }

        // Guards against a faulty server that fills the memory with an event that never ends.
        test("given an event without an end, then at most the limit is buffered") {
            val splitter = EventStreamSplitter(maxEventBytes = 100)

            splitter.accept("data: x\n".repeat(50).toByteArray()) shouldBe emptyList()

            splitter.isOverflowing shouldBe true
        }

        test("given an event split over several chunks, then its bytes are unchanged") {
            split("id: 7\r\n", "data: x\r", "\n\r\n") shouldBe
                (listOf("7:id: 7\r\ndata: x\r\n\r\n") to false)
        }
    })
