package io.lavenderhinge.core.membership

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeInRange
import io.kotest.matchers.shouldBe

class RendezvousHashTest :
    FunSpec({
        val candidates = (0 until 10).map { "i-$it" }
        val items = (0 until 10_000).map { "item-$it" }

        test("given a candidate that leaves, then only its items move") {
            val remaining = candidates - "i-3"
            val moved =
                items.filter {
                    RendezvousHash.highest(it, candidates) != RendezvousHash.highest(it, remaining)
                }
            moved.all { RendezvousHash.highest(it, candidates) == "i-3" } shouldBe true
        }

        test("given similar names, then no candidate gets far more than its share") {
            val held = items.groupingBy { RendezvousHash.highest(it, candidates) }.eachCount()
            candidates.forEach { (held[it] ?: 0).shouldBeInRange(850..1_150) }
        }

        test("given a count, then the first result is the highest, in any order of candidates") {
            RendezvousHash.highest("x", candidates, 2).first() shouldBe
                RendezvousHash.highest("x", candidates.reversed())
        }
    })
