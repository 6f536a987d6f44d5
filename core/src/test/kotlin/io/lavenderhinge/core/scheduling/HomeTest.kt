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
        test("given a full server, when a slot frees, then the highest tier gets it") {
            val home = HomeFixture(slots = 1)
            home.asked(home.ask("running"))
            home.asked(home.ask("batch", Tier.BATCH))
            home.asked(home.ask("standard"))
            home.asked(home.ask("interactive", Tier.INTERACTIVE))

            home.finished("running") shouldContain "grant interactive"
            home.finished("interactive") shouldContain "grant standard"
        }

        test("given weights 3 and 1, when both wait, then slots are shared three to one") {
            val home = HomeFixture(slots = 1)
            home.asked(home.ask("first"))
            repeat(40) { home.asked(home.ask("light-$it", workspace = "light")) }
            repeat(40) { home.asked(home.ask("heavy-$it", workspace = "heavy", weight = 3.0)) }

            var running = "first"
            val granted =
                List(40) {
                    running = home.finished(running).single().removePrefix("grant ")
                    running
                }

            granted.count { it.startsWith("heavy") } shouldBeInRange 29..31
        }

        test("given a wait beyond its deadline, when it asks, then it is refused before prefill") {
            val home = HomeFixture(slots = 1)
            home.asked(home.ask("running"))

            home.asked(home.ask("urgent", deadlineMillis = 100)) shouldContainExactly
                listOf("refuse urgent DEADLINE")
        }

        test("given a waiting ask, when its deadline passes, then it is refused and not granted") {
            val home = HomeFixture(slots = 1)
            home.asked(home.ask("running"))
            home.asked(home.ask("waiting", deadlineMillis = 5_000))

            home.at(5_001).finished("running") shouldContainExactly
                listOf("refuse waiting DEADLINE")
        }

        test("given a full queue, when the same tier asks, then it is refused") {
            val home = HomeFixture(slots = 1, queueCapacity = 1)
            home.asked(home.ask("running"))
            home.asked(home.ask("waiting"))

            home.asked(home.ask("late")) shouldContain "refuse late QUEUE_FULL"
        }

        test("given a full queue, when a higher tier asks, then the newest of the lowest leaves") {
            val home = HomeFixture(slots = 1, queueCapacity = 3)
            home.asked(home.ask("running", Tier.INTERACTIVE))
            home.asked(home.ask("batch-old", Tier.BATCH))
            home.asked(home.ask("batch-new", Tier.BATCH))
            home.asked(home.ask("standard"))

            home.asked(home.ask("interactive", Tier.INTERACTIVE)) shouldContainExactly
                listOf("refuse batch-new DISPLACED", "queued interactive")
        }

        test("given a lower tier in service, when an ask may preempt, then the newest gives way") {
            val home = HomeFixture(slots = 2)
            home.asked(home.ask("batch-old", Tier.BATCH))
            home.at(10).asked(home.ask("batch-new", Tier.BATCH))

            home.asked(home.ask("top", Tier.INTERACTIVE, mayPreempt = true)) shouldContainExactly
                listOf("queued top", "preempt batch-new")
            home.finished("batch-new", ResultClass.CANCELLED) shouldContain "grant top"
        }

        test(
            "given a first token due soon, when slots are held by batch, then batch is preempted"
        ) {
            val home = HomeFixture(slots = 1)
            home.asked(home.ask("batch", Tier.BATCH))
            home.asked(home.ask("top", Tier.INTERACTIVE, firstTokenDueMillis = 1_000))

            home.at(600).handle(HomeEvent.Tick).shouldBeEmpty()
            home.at(701).handle(HomeEvent.Tick) shouldContain "preempt batch"
        }

        test(
            "given a lower tier in service, when the top tier is refused, then the count says so"
        ) {
            val home = HomeFixture(slots = 1)
            home.asked(home.ask("batch", Tier.BATCH))

            val ask = home.ask("top", Tier.INTERACTIVE, deadlineMillis = 10)
            val refusal = home.home.handle(HomeEvent.Asked(ask), 0).single() as HomeEffect.Refuse

            refusal.lowerTierCount shouldBe 1
        }

        test(
            "given an ask past its first-token target, when one on time waits, then it goes first"
        ) {
            val home = HomeFixture(slots = 1)
            home.asked(home.ask("running"))
            home.asked(home.ask("late", firstTokenDueMillis = 50))
            home.asked(home.ask("on-time", firstTokenDueMillis = 5_000))

            home.at(100).finished("running") shouldContainExactly listOf("grant on-time")
        }

        test("given a grant that nobody confirms, when 2 s pass, then the slot returns") {
            val home = HomeFixture(slots = 1)
            home.asked(home.ask("lost"))

            home.at(1_999).handle(HomeEvent.Tick)
            home.inService() shouldBe 1
            home.at(2_000).handle(HomeEvent.Tick)
            home.inService() shouldBe 0
        }

        test("given a confirmed grant, when 2 s pass, then the slot is kept") {
            val home = HomeFixture(slots = 1)
            home.asked(home.ask("used"))
            home.handle(HomeEvent.Registered(home.ask("used")))

            home.at(10_000).handle(HomeEvent.Tick)
            home.inService() shouldBe 1
        }

        test("given a broken link, when no report comes, then its slots return after 5 s") {
            val home = HomeFixture(slots = 1)
            home.asked(home.ask("orphan", entry = "gone"))
            home.asked(home.ask("waiting", entry = "gone"))
            home.handle(HomeEvent.LinkLost("gone"))

            home.at(4_999).asked(home.ask("next")) shouldContain "queued next"
            home.at(5_000).handle(HomeEvent.Tick) shouldContainExactly listOf("grant next")
        }

        test("given a broken link, when a report no longer shows its slot, then it returns") {
            val home = HomeFixture(slots = 1)
            home.asked(home.ask("orphan", entry = "gone"))
            home.handle(HomeEvent.LinkLost("gone"))
            home.asked(home.ask("next"))

            home.at(500).reported(running = 0) shouldContainExactly listOf("grant next")
        }

        test("given another home, when a report shows its requests, then they use up the limit") {
            val home = HomeFixture(slots = 3)
            home.reported(running = 2)

            home.asked(home.ask("a")) shouldContain "grant a"
            home.asked(home.ask("b")) shouldContain "queued b"
        }

        test("given own requests that just ended, when a late report shows them, none is foreign") {
            val home = HomeFixture(slots = 2)
            home.asked(home.ask("a"))
            home.asked(home.ask("b"))
            home.at(300).finished("a")
            home.finished("b")
            home.reported(running = 2)

            home.home.status(300).foreign shouldBe 0
        }

        test("given a new home, when entries register requests, then they hold their slots") {
            val home = HomeFixture(slots = 1)
            home.handle(HomeEvent.Registered(home.ask("in-service")))

            home.asked(home.ask("next")) shouldContain "queued next"
        }

        test("given waiting asks, when the home shuts down, then they are handed back") {
            val home = HomeFixture(slots = 1)
            home.asked(home.ask("running"))
            home.asked(home.ask("waiting"))

            home.handle(HomeEvent.Closed(RefusalReason.SHUTDOWN)) shouldContainExactly
                listOf("refuse waiting SHUTDOWN")
            home.finished("running").shouldBeEmpty()
        }

        test("given a leaving server, when a slot frees, then no waiting ask is sent there") {
            val home = HomeFixture(slots = 1)
            home.asked(home.ask("running"))
            home.asked(home.ask("waiting"))

            home.handle(HomeEvent.ServerChanged(ServerHealth(ServerState.LEAVING))) shouldBe
                listOf("refuse waiting SERVER_LEAVING")
            home.asked(home.ask("next")) shouldContain "refuse next SERVER_LEAVING"
        }

        test("given two failed connections, when more asks wait, then they are handed back") {
            val home = HomeFixture(slots = 2)
            listOf("a", "b", "c").forEach { home.asked(home.ask(it)) }

            home.finished("a", ResultClass.CONNECTION_FAILED) shouldContain "grant c"
            home.finished("b", ResultClass.CONNECTION_FAILED)
            home.asked(home.ask("d")) shouldContain "refuse d SERVER_DOWN"
        }

        test("given a granted ask, when it arrives again, then it is not granted twice") {
            val home = HomeFixture(slots = 2)
            home.asked(home.ask("a"))

            home.asked(home.ask("a")).shouldBeEmpty()
            home.inService() shouldBe 1
        }

        test("given two entries, when their asks carry the same number, then both are granted") {
            val home = HomeFixture(slots = 2)
            home.asked(home.ask("1", entry = "e"))

            home.asked(home.ask("1", entry = "f")) shouldContain "grant 1"
            home.inService() shouldBe 2
        }

        test("given a pool that protects the top tier, when batch would wait, then it is refused") {
            val home = HomeFixture(slots = 1)
            home.asked(home.ask("running"))
            home.handle(HomeEvent.PoolTierChanged(Tier.INTERACTIVE, untilMillis = 2_000))

            home.asked(home.ask("batch", Tier.BATCH)) shouldContain "refuse batch TIER_CLOSED"
            home.at(2_000).asked(home.ask("later", Tier.BATCH)) shouldContain "queued later"
        }
    })
