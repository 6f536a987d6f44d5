package io.lavenderhinge.core.scheduling

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.ints.shouldBeInRange
import io.kotest.matchers.shouldBe
import io.lavenderhinge.core.Tier

class HomeTest :
    FunSpec({
        test("given a full server, when a slot is freed, then the highest tier is granted") {
            val home = HomeFixture(slots = 1)
            home.submit(home.request("running"))
            home.submit(home.request("batch", Tier.BATCH))
            home.submit(home.request("standard"))
            home.submit(home.request("interactive", Tier.INTERACTIVE))

            home.finish("running") shouldContain "grant interactive"
            home.finish("interactive") shouldContain "grant standard"
        }

        test("given weights 3 and 1, when both are queued, then slots are shared three to one") {
            val home = HomeFixture(slots = 1)
            home.submit(home.request("first"))
            repeat(40) { home.submit(home.request("light-$it", workspace = "light")) }
            repeat(40) { home.submit(home.request("heavy-$it", workspace = "heavy", weight = 3.0)) }

            var running = "first"
            val granted =
                List(40) {
                    running = home.finish(running).single().removePrefix("grant ")
                    running
                }

            granted.count { it.startsWith("heavy") } shouldBeInRange 29..31
        }

        test(
            "given a wait beyond the deadline, when requested, then it is refused before prefill"
        ) {
            val home = HomeFixture(slots = 1)
            home.submit(home.request("running"))

            home.submit(home.request("urgent", deadlineMillis = 100)) shouldContainExactly
                listOf("refuse urgent DEADLINE")
        }

        test(
            "given a queued request, when its deadline passes, then it is refused and not granted"
        ) {
            val home = HomeFixture(slots = 1)
            home.submit(home.request("running"))
            home.submit(home.request("waiting", deadlineMillis = 5_000))

            home.at(5_001).finish("running") shouldContainExactly listOf("refuse waiting DEADLINE")
        }

        test("given a full queue, when the same tier requests a slot, then it is refused") {
            val home = HomeFixture(slots = 1, queueCapacity = 1)
            home.submit(home.request("running"))
            home.submit(home.request("waiting"))

            home.submit(home.request("late")) shouldContain "refuse late QUEUE_FULL"
        }

        test(
            "given a full queue, when a higher tier arrives, then the newest lowest is displaced"
        ) {
            val home = HomeFixture(slots = 1, queueCapacity = 3)
            home.submit(home.request("running", Tier.INTERACTIVE))
            home.submit(home.request("batch-old", Tier.BATCH))
            home.submit(home.request("batch-new", Tier.BATCH))
            home.submit(home.request("standard"))

            home.submit(home.request("interactive", Tier.INTERACTIVE)) shouldContainExactly
                listOf("refuse batch-new DISPLACED", "queued interactive")
        }

        test(
            "given a lower tier in service, when a request preempts, then the newest is preempted"
        ) {
            val home = HomeFixture(slots = 2)
            home.submit(home.request("batch-old", Tier.BATCH))
            home.at(10).submit(home.request("batch-new", Tier.BATCH))

            home.submit(
                home.request("top", Tier.INTERACTIVE, mayPreempt = true)
            ) shouldContainExactly listOf("queued top", "preempt batch-new")
            home.finish("batch-new", ResultClass.CANCELLED) shouldContain "grant top"
        }

        test(
            "given a first token due soon, when slots are held by batch, then batch is preempted"
        ) {
            val home = HomeFixture(slots = 1)
            home.submit(home.request("batch", Tier.BATCH))
            home.submit(home.request("top", Tier.INTERACTIVE, firstTokenDueMillis = 1_000))

            home.at(600).handle(HomeEvent.Tick).shouldBeEmpty()
            home.at(701).handle(HomeEvent.Tick) shouldContain "preempt batch"
        }

        test("given a lower tier in service, when the top tier is refused, then it is counted") {
            val home = HomeFixture(slots = 1)
            home.submit(home.request("batch", Tier.BATCH))

            val request = home.request("top", Tier.INTERACTIVE, deadlineMillis = 10)
            val refusal =
                home.home.handle(HomeEvent.Requested(request), 0).single() as HomeEffect.Refuse

            refusal.lowerTierCount shouldBe 1
        }

        test(
            "given a late and an on-time request, when a slot is freed, then the latter is granted"
        ) {
            val home = HomeFixture(slots = 1)
            home.submit(home.request("running"))
            home.submit(home.request("late", firstTokenDueMillis = 50))
            home.submit(home.request("on-time", firstTokenDueMillis = 5_000))

            home.at(100).finish("running") shouldContainExactly listOf("grant on-time")
        }

        test("given an unconfirmed grant, when 2 s pass, then the slot is freed") {
            val home = HomeFixture(slots = 1)
            home.submit(home.request("lost"))

            home.at(1_999).handle(HomeEvent.Tick)
            home.inService() shouldBe 1
            home.at(2_000).handle(HomeEvent.Tick)
            home.inService() shouldBe 0
        }

        test("given a confirmed grant, when 2 s pass, then the slot is kept") {
            val home = HomeFixture(slots = 1)
            home.submit(home.request("used"))
            home.handle(HomeEvent.Registered(home.request("used")))

            home.at(10_000).handle(HomeEvent.Tick)
            home.inService() shouldBe 1
        }

        test(
            "given a broken link, when no load report arrives, then its slots are freed after 5 s"
        ) {
            val home = HomeFixture(slots = 1)
            home.submit(home.request("orphan", entry = "gone"))
            home.submit(home.request("waiting", entry = "gone"))
            home.handle(HomeEvent.LinkLost("gone"))

            home.at(4_999).submit(home.request("next")) shouldContain "queued next"
            home.at(5_000).handle(HomeEvent.Tick) shouldContainExactly listOf("grant next")
        }

        test("given a broken link, when a load report omits its request, then the slot is freed") {
            val home = HomeFixture(slots = 1)
            home.submit(home.request("orphan", entry = "gone"))
            home.handle(HomeEvent.LinkLost("gone"))
            home.submit(home.request("next"))

            home.at(500).reportLoad(running = 0) shouldContainExactly listOf("grant next")
        }

        test(
            "given another home, when a load report includes its requests, then the limit shrinks"
        ) {
            val home = HomeFixture(slots = 3)
            home.reportLoad(running = 2)

            home.submit(home.request("a")) shouldContain "grant a"
            home.submit(home.request("b")) shouldContain "queued b"
        }

        test(
            "given finished requests, when a delayed load report has them, then none is external"
        ) {
            val home = HomeFixture(slots = 2)
            home.submit(home.request("a"))
            home.submit(home.request("b"))
            home.at(300).finish("a")
            home.finish("b")
            home.reportLoad(running = 2)

            home.home.status(300).foreign shouldBe 0
        }

        test("given a new home, when entries register requests, then they hold their slots") {
            val home = HomeFixture(slots = 1)
            home.handle(HomeEvent.Registered(home.request("in-service")))

            home.submit(home.request("next")) shouldContain "queued next"
        }

        test("given queued requests, when the home shuts down, then they are refused") {
            val home = HomeFixture(slots = 1)
            home.submit(home.request("running"))
            home.submit(home.request("waiting"))

            home.handle(HomeEvent.Closed(RefusalReason.SHUTDOWN)) shouldContainExactly
                listOf("refuse waiting SHUTDOWN")
            home.finish("running").shouldBeEmpty()
        }

        test(
            "given a queued request, when the server is leaving, then it and new ones are refused"
        ) {
            val home = HomeFixture(slots = 1)
            home.submit(home.request("running"))
            home.submit(home.request("waiting"))

            home.handle(HomeEvent.ServerChanged(ServerHealth(ServerState.LEAVING))) shouldBe
                listOf("refuse waiting SERVER_LEAVING")
            home.submit(home.request("next")) shouldContain "refuse next SERVER_LEAVING"
        }

        test("given two failed connections, when another request arrives, then it is refused") {
            val home = HomeFixture(slots = 2)
            listOf("a", "b", "c").forEach { home.submit(home.request(it)) }

            home.finish("a", ResultClass.CONNECTION_FAILED) shouldContain "grant c"
            home.finish("b", ResultClass.CONNECTION_FAILED)
            home.submit(home.request("d")) shouldContain "refuse d SERVER_DOWN"
        }

        test("given a granted request, when it arrives again, then it is not granted twice") {
            val home = HomeFixture(slots = 2)
            home.submit(home.request("a"))

            home.submit(home.request("a")).shouldBeEmpty()
            home.inService() shouldBe 1
        }

        test("given two entries, when their requests have the same id, then both are granted") {
            val home = HomeFixture(slots = 2)
            home.submit(home.request("1", entry = "e"))

            home.submit(home.request("1", entry = "f")) shouldContain "grant 1"
            home.inService() shouldBe 2
        }

        test(
            "given tiers closed for the pool, when a batch request would wait, then it is refused"
        ) {
            val home = HomeFixture(slots = 1)
            home.submit(home.request("running"))
            home.handle(HomeEvent.PoolTierChanged(Tier.INTERACTIVE, untilMillis = 2_000))

            home.submit(home.request("batch", Tier.BATCH)) shouldContain "refuse batch TIER_CLOSED"
            home.at(2_000).submit(home.request("later", Tier.BATCH)) shouldContain "queued later"
        }
    })
