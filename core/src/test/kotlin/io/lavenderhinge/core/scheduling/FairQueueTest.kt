package io.lavenderhinge.core.scheduling

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeInRange
import io.kotest.matchers.shouldBe

class FairQueueTest :
    FunSpec({
        val home = HomeFixture(slots = 1)
        fun waiting(id: String, workspace: String, number: Long) =
            QueuedRequest(home.request(id, workspace = workspace), number, 0)

        test("given withdrawn requests, when their workspace returns, then it was not charged") {
            val queue = FairQueue()
            (0L..9L)
                .map { waiting("gone-$it", "a", it) }
                .onEach(queue::add)
                .forEach { queue.remove(it) }
            queue.add(waiting("a", "a", 10))
            queue.add(waiting("b", "b", 11))

            queue.peek()?.request?.grantRequestId shouldBe "a"
        }

        test("given an idle workspace, when it returns, then it has no accumulated credit") {
            val queue = FairQueue()
            (0L..9L).map { waiting("busy-$it", "busy", it) }.onEach(queue::add)
            repeat(5) { queue.serve(checkNotNull(queue.peek())) }
            (20L..29L).forEach { queue.add(waiting("back-$it", "back", it)) }

            val served = List(6) { checkNotNull(queue.peek()).also(queue::serve) }

            // Start-time fair queueing lets it lead by one request; a credit would give it all six.
            served.count { it.request.workspace == "back" } shouldBeInRange 3..4
        }
    })
