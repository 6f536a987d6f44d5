package io.lavenderhinge.core.forwarding

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe

class EvacuationStateTest :
    FunSpec({
        fun read(revision: Long, vararg domains: String, isRestored: Boolean = false) =
            EvacuationRead(domains.toSet(), revision, revision, isRestored)

        val requested = EvacuationState().after(read(10, "a"), nowMillis = 0)

        // Guards against a late answer or copy that takes back a newer request.
        test("given a newer state, when an older one is read, then it has no effect") {
            requested.after(read(9), nowMillis = 50) shouldBe requested
        }

        test("given two requests, when one ends, then only its domain returns") {
            val both = requested.after(read(11, "a", "b"), nowMillis = 10)

            val one = both.after(read(12, "b"), nowMillis = 20)

            one.isEvacuated("a", nowMillis = 20) shouldBe false
            one.isEvacuated("b", nowMillis = 20) shouldBe true
        }

        // Guards against a revision that rises with each answer, for which peers would ask.
        test("given no change, when a newer answer is read, then the revision stays") {
            val later = requested.after(read(15, "a"), nowMillis = 50)

            later.revision shouldBe 10
            later.readRevision shouldBe 15
        }

        test("given an end, then the usable share rises over the ramp") {
            val ended = requested.after(read(12), nowMillis = 1_000)

            ended.usableShare("a", nowMillis = 1_000) shouldBe 0.0
            ended.usableShare("a", nowMillis = 3_500) shouldBe 0.5
            ended.usableShare("a", nowMillis = 6_000) shouldBe 1.0
        }

        // Guards against memory that grows with each evacuation.
        test("given the ramp is over, when an answer is read, then the state is empty again") {
            val ended = requested.after(read(12), nowMillis = 1_000)

            ended.after(read(13), nowMillis = 6_000).isEmpty shouldBe true
        }

        // Guards against requests to a domain whose request only the store has forgotten.
        test("given a restored store without the key, then the domain is kept for the hold") {
            val restored = requested.after(read(100, isRestored = true), nowMillis = 1_000)

            restored.isEvacuated("a", nowMillis = 10_999) shouldBe true
            restored.usableShare("a", nowMillis = 10_999) shouldBe 0.0
            restored.isEvacuated("a", nowMillis = 11_000) shouldBe false
        }

        test("given a hold, when the key is seen to be removed, then the domain returns") {
            val restored = requested.after(read(100, isRestored = true), nowMillis = 1_000)

            val removed =
                restored.after(read(101).copy(endedDomains = setOf("a")), nowMillis = 2_000)

            removed.isEvacuated("a", nowMillis = 2_000) shouldBe false
        }

        test("given a hold, when the key is written again, then the domain stays evacuated") {
            val restored = requested.after(read(100, isRestored = true), nowMillis = 1_000)

            val again = restored.after(read(101, "a"), nowMillis = 2_000)

            again.isEvacuated("a", nowMillis = 60_000) shouldBe true
        }
    })
