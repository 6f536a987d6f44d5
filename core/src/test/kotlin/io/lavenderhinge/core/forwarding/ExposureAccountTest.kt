package io.lavenderhinge.core.forwarding

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe

/** Guards against instances that together send a version more requests than its limit. */
class ExposureAccountTest :
    FunSpec({
        fun account(total: Int, onTarget: Int) =
            ExposureAccount(ExposureLimit(shareFraction = 0.1, slackRequests = 0.0)).apply {
                advance(nowMillis = 0)
                repeat(total) { onSent(isTarget = it < onTarget) }
                advance(nowMillis = 1_000)
            }

        fun ExposureAccount.allowsAllFor(remainingMillis: Long, nowMillis: Long) =
            allowsAll(remainingMillis, elapsedMillis = 1_000, nowMillis)

        test("given a balance, then it bears the requests that use it up") {
            val account = account(total = 100, onTarget = 1)

            account.allowsAllFor(100, nowMillis = 1_000) shouldBe true
            account.allowsAllFor(101, nowMillis = 1_000) shouldBe false
        }

        test("given a peer that is silent, then its balance is not spent") {
            val account = account(total = 100, onTarget = 1)
            account.onPeerReport("p", SentRequests(total = 1_000), nowMillis = 0)

            account.allowsAllFor(105, nowMillis = 900) shouldBe true
            account.allowsAllFor(105, nowMillis = 1_000) shouldBe false
        }

        test("given a peer that has spent too much, then its debt outlasts its silence") {
            val account = account(total = 100, onTarget = 1)
            account.onPeerReport("p", SentRequests(total = 10, onTarget = 10), nowMillis = 0)

            account.allowsAllFor(50, nowMillis = 2_000) shouldBe false
        }

        test("given a peer that has started anew, then the debt of its earlier run remains") {
            val account = account(total = 100, onTarget = 1)
            account.onPeerReport("p", SentRequests(total = 10, onTarget = 10), nowMillis = 900)
            account.onPeerReport("p", SentRequests(), nowMillis = 1_000)

            account.allowsAllFor(50, nowMillis = 1_000) shouldBe false
        }

        test("given more requests than expected, then chance is told apart from a burst") {
            val account = account(total = 100, onTarget = 1)

            account.isOverdrawn(remainingMillis = 120, nowMillis = 1_000) shouldBe false
            account.isOverdrawn(remainingMillis = 300, nowMillis = 1_000) shouldBe true
        }
    })
