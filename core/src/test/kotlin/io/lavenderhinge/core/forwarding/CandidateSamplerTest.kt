package io.lavenderhinge.core.forwarding

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.collections.shouldNotContain
import io.kotest.matchers.shouldBe
import kotlin.random.Random

/** Guards against large fleets whose instances all choose the best server of the same reports. */
class CandidateSamplerTest :
    FunSpec({
        val seed = 7L

        fun load(id: String, freeSlots: Int = 1, failureDomain: String = "d") =
            ServerLoad(
                ServerRecord(server(id).copy(failureDomain = failureDomain)),
                ServerUse(0, 0.0),
                slots = freeSlots,
            ) {
                0.0
            }

        val busy = load("busy", freeSlots = 0)
        val near = List(60) { load("near-$it") }
        val far = List(60) { load("far-$it", failureDomain = "e") }

        fun ids(servers: List<ServerLoad>, peerCount: Int, preferred: List<String> = emptyList()) =
            CandidateSampler(Random(seed))
                .candidates(servers, preferred, failureDomain = "d", peerCount)
                .map { it.record.entry.id }

        test("given a small fleet, then all servers are compared") {
            ids(near + far + busy, peerCount = 9).size shouldBe 121
        }

        test("given a fleet of 20, then a quarter of the free servers of each domain is compared") {
            val ids = ids(near + far + busy, peerCount = 19)

            ids.count { it.startsWith("near") } shouldBe 15
            ids.count { it.startsWith("far") } shouldBe 15
            ids shouldNotContain "busy"
        }

        test("given a very large fleet, then two servers of each domain are still compared") {
            val ids = ids(near + far, peerCount = 999)

            ids.count { it.startsWith("near") } shouldBe 2
            ids.count { it.startsWith("far") } shouldBe 2
        }

        // Guards against a shared prompt that is read again because its server was not sampled.
        test("given a preferred server that is free, then it is always compared") {
            near.forEach { preferred ->
                val id = preferred.record.entry.id
                ids(near, peerCount = 999, listOf(id)) shouldContain id
            }
        }

        test("given as few free servers as a sample has, then busy ones are compared too") {
            ids(near.take(2) + busy, peerCount = 999)
                .shouldContainExactly("near-0", "near-1", "busy")
        }

        test("given no free server, then all are compared") {
            ids(listOf(busy), peerCount = 999).shouldContainExactly("busy")
        }
    })
