package io.lavenderhinge.core.forwarding

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.plusOrMinus
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import kotlin.random.Random

class DomainSpilloverTest :
    FunSpec({
        val events = mutableListOf<SpilloverEvent>()

        fun spillover() = DomainSpillover("s", "a", Random(1)) { events += it }

        fun view(domain: String, demand: Int, slots: Int = 40, waitMillis: Double = 0.0) =
            DomainView(domain, slots, slots / 600.0, minOf(demand, slots), demand, waitMillis)

        /** Applies [views] for two seconds. */
        fun DomainSpillover.settle(vararg views: DomainView, fromMillis: Long = 0) = apply {
            (0L..2_000L step 100).forEach { step(views.toList(), null, fromMillis + it) }
        }

        beforeTest { events.clear() }

        test("given an excess beside a room, then a share leaves for it") {
            val spillover = spillover().settle(view("a", 60), view("b", 10))

            spillover.targets shouldBe setOf("b")
            spillover.shareFraction shouldBeGreaterThan 0.2
        }

        // Guards against two domains that fill the room of a third one twice.
        test("given two domains with an excess, then each gets its part of the room") {
            val alone = spillover().settle(view("a", 70), view("c", 20))
            val beside = spillover().settle(view("a", 70), view("b", 70), view("c", 20))

            alone.shareFraction shouldBeGreaterThan 1.5 * beside.shareFraction
        }

        // Guards against a domain that is sent requests while its own wait.
        test("given a domain whose instances state a wait, then it takes nothing") {
            val spillover = spillover().settle(view("a", 80), view("b", 20, waitMillis = 100.0))

            spillover.targets shouldBe emptySet()
            spillover.shareFraction shouldBe 0.0
        }

        // Guards against a domain without servers, as under evacuation, that counts as free.
        test("given a domain without servers, then it takes nothing") {
            spillover().settle(view("a", 80), view("b", 0, slots = 0)).shareFraction shouldBe 0.0
        }

        test("given a share, then that part of the requests may leave") {
            val spillover = spillover().settle(view("a", 80), view("b", 0))
            var left = 0
            repeat(100) {
                spillover.onArrived()
                if (spillover.mayLeave) {
                    spillover.onLeft()
                    left++
                }
            }

            left.toDouble() shouldBe (100 * spillover.shareFraction plusOrMinus 1.0)
        }

        // Guards against paying for the bytes of a long prompt to save a few milliseconds.
        test("given a small gain, then only a small request leaves") {
            val spillover = spillover()

            spillover.isWorthLeaving(request(1, promptTokens = 100.0), 120.0, 100.0) shouldBe true
            spillover.isWorthLeaving(request(1, promptTokens = 4_000.0), 120.0, 100.0) shouldBe
                false
        }

        test("given a share that starts and ends, then both are reported once") {
            val spillover = spillover().settle(view("a", 60), view("b", 10))
            repeat(3) {
                spillover.settle(view("a", 10), view("b", 10), fromMillis = 3_000L * (it + 1))
            }

            val changes = events.filterIsInstance<SpilloverEvent.ShareChanged>()
            changes.filter { it.isStartOrStop }.map { it.shareFraction > 0 } shouldBe
                listOf(true, false)
            spillover.shareFraction shouldBe 0.0
        }
    })
