package io.lavenderhinge.core.routing

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import io.lavenderhinge.core.Tier
import io.lavenderhinge.core.membership.RendezvousHash
import io.lavenderhinge.core.routing.RouterFixture.Companion.request
import io.lavenderhinge.core.routing.RouterFixture.Companion.server
import io.lavenderhinge.core.scheduling.RefusalReason
import io.lavenderhinge.core.scheduling.ResultClass
import io.lavenderhinge.core.scheduling.SlotResult

class SlotRouterTest :
    FunSpec({
        test("given one busy server, when a request arrives, then the other home is tried") {
            val entry = RouterFixture().apply { summary("s1", waitMillis = 500) }

            entry.submit() shouldContainExactly listOf("request s2")
        }

        test("given a queued request, when the second home grants, then the first is released") {
            val entry = RouterFixture().apply { summary("s2", waitMillis = 50) }
            entry.submit() shouldContainExactly listOf("request s1")
            entry.queue("s1", waitMillis = 900) shouldContainExactly listOf("request s2")

            entry.grant("s2") shouldContainExactly listOf("release s1", "granted r s2")
        }

        test("given a withdrawn request, when its grant arrives late, then the slot is returned") {
            val entry = RouterFixture(servers = listOf(server("s1")))
            entry.submit()
            entry.handle(RouterEvent.Released("r"))

            entry.grant("s1") shouldContainExactly listOf("release s1")
        }

        test(
            "given a known prefix, when another prompt shares it, then its server is tried first"
        ) {
            val entry = RouterFixture().apply { summary("s1", waitMillis = 500) }
            val prefix = List(16) { 77L + it }
            entry.submit(request("first", prefixHashes = prefix))
            entry.grant("s2")
            entry.at(60_000).summary("s2", waitMillis = 40)

            entry.submit(request("second", prefixHashes = prefix)) shouldContain "request s2"
        }

        test(
            "given a smaller hit estimate, when the home grants, then longer prefixes are removed"
        ) {
            val index = PrefixIndex().apply { recordDispatch("s1", listOf(1, 2, 3)) }

            index.correct("s1", listOf(1, 2, 3), cachedTokens = 64)

            index.expectedTokens(listOf(1, 2, 3)) shouldBe mapOf("s1" to 64)
        }

        test("given more prefixes than fit, when one is added, then memory stays bounded") {
            val index = PrefixIndex(capacity = 10)
            (1L..100L).forEach { index.recordDispatch("s1", listOf(it)) }

            index.size shouldBe 10
        }

        test(
            "given homes serving a lower tier, when all have refused, then one is asked to preempt"
        ) {
            val entry = RouterFixture(servers = listOf(server("s1")))
            entry.submit()

            entry.refuse("s1", RefusalReason.QUEUE_FULL, lowerTierCount = 3) shouldContainExactly
                listOf("preempt-request s1")
        }

        test("given a standard request, when all homes refuse, then nothing is preempted for it") {
            val entry = RouterFixture(servers = listOf(server("s1")))
            entry.submit(request(tier = Tier.STANDARD, deadlineMillis = 100))

            entry.refuse("s1", RefusalReason.QUEUE_FULL, lowerTierCount = 3) shouldContainExactly
                listOf("refused r OVERLOADED")
        }

        test(
            "given a refused round, when the retry budget allows, then it retries after a backoff"
        ) {
            val entry = RouterFixture(servers = listOf(server("s1")))
            entry.submit()
            entry.refuse("s1", RefusalReason.QUEUE_FULL).shouldBeEmpty()

            entry.at(250).handle(RouterEvent.Tick) shouldContainExactly listOf("request s1")
        }

        test("given an exhausted retry budget, when a round is refused, then the request is shed") {
            val entry = RouterFixture(servers = listOf(server("s1")))
            entry.submit(request("first"))
            entry.refuse("s1", RefusalReason.QUEUE_FULL)
            entry.submit(request("second"))

            entry.refuse("s1", RefusalReason.QUEUE_FULL) shouldContainExactly
                listOf("refused second OVERLOADED")
        }

        test(
            "given an exhausted retry budget, when an interactive one fails over, then it is sent"
        ) {
            val entry = RouterFixture(servers = listOf(server("s1")))
            val batch = request("batch", tier = Tier.BATCH, attempt = 1)
            entry.submit(batch) shouldContainExactly listOf("request s1")
            entry.submit(batch.copy(requestId = "next")) shouldContainExactly
                listOf("refused next RETRY_BUDGET")

            entry.submit(request(attempt = 1)) shouldContainExactly listOf("request s1")
        }

        test(
            "given a waiting request, when the link to its home breaks, then another home is tried"
        ) {
            val servers = listOf(server("s1"))
            val entry = RouterFixture(instances = listOf("h1", "h2"), servers = servers)
            entry.submit()
            val homeId = homeOf("s1", listOf("h1", "h2"))

            entry.handle(RouterEvent.LinkLost(homeId)) shouldContainExactly listOf("request s1")
            entry.grant("s1") shouldContainExactly listOf("granted r s1")
        }

        test("given a held slot, when its home changes, then it is registered with the new one") {
            val entry = RouterFixture(servers = listOf(server("s1")))
            entry.submit()
            entry.grant("s1")

            entry.handle(entry.view(listOf("other"))) shouldContainExactly
                listOf("register s1 with other")
        }

        test("given a long request, when one second passes, then its grant is confirmed once") {
            val entry = RouterFixture(servers = listOf(server("s1")))
            entry.submit()
            entry.grant("s1")

            entry.at(1_000).handle(RouterEvent.Tick) shouldContainExactly
                listOf("register s1 with h")
            entry.at(1_100).handle(RouterEvent.Tick).shouldBeEmpty()
        }

        test("given a home that does not answer, when the timeout passes, then another is tried") {
            val entry = RouterFixture().apply { summary("s2", waitMillis = 100) }
            entry.submit() shouldContainExactly listOf("request s1")

            entry.at(500).handle(RouterEvent.Tick) shouldContainExactly listOf("request s2")
        }

        test(
            "given a failed connection, when the next request arrives, then another server is tried"
        ) {
            val entry = RouterFixture().apply { summary("s2", waitMillis = 100) }
            entry.submit()
            entry.grant("s1")
            entry.handle(RouterEvent.Finished("r", SlotResult(ResultClass.CONNECTION_FAILED)))

            entry.submit(request("next")) shouldContainExactly listOf("request s2")
        }

        test("given a large pool, when the own domain is busy, then another domain is tried") {
            val near = List(70) { server("near-$it", "d0") }
            val far = List(70) { server("far-$it", "d1") }
            val entry = RouterFixture(servers = near + far)
            entry.submit(request("a")).single().startsWith("request near") shouldBe true
            near.forEach { entry.summary(it.id, waitMillis = 2_000) }

            entry.submit(request("b")).single().startsWith("request far") shouldBe true
        }

        test(
            "given a shutdown, when a request waits, then it is refused and released at its home"
        ) {
            val entry = RouterFixture(servers = listOf(server("s1")))
            entry.submit()

            entry.handle(RouterEvent.Closed) shouldContainExactly
                listOf("release s1", "refused r SHUTDOWN")
        }
    }) {
    private companion object {
        fun homeOf(serverId: String, instanceIds: List<String>): String =
            checkNotNull(RendezvousHash.highest(serverId, instanceIds))
    }
}
