package io.lavenderhinge.instance.scheduling

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.lavenderhinge.core.Tier
import io.lavenderhinge.core.membership.RendezvousHash
import io.lavenderhinge.core.routing.SlotRefusalReason
import io.lavenderhinge.core.routing.SlotRequest
import io.lavenderhinge.core.scheduling.ResultClass
import io.lavenderhinge.core.scheduling.SlotResult
import io.lavenderhinge.core.settings.Target
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.async
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeout

class HomeSlotServiceTest :
    FunSpec({
        test(
            "given three instances, when all request slots concurrently, then each gets one slot"
        ) {
            LocalPeerLinks(listOf("a", "b", "c"), listOf("s1", "s2")).use { links ->
                links.start()
                val granted = AtomicInteger()
                withTimeout(20.seconds) {
                    coroutineScope {
                        repeat(300) { number ->
                            async {
                                val service = links.service(listOf("a", "b", "c")[number % 3])
                                val slot = service.acquire(request("r$number")).getOrNull()
                                granted.incrementAndGet()
                                checkNotNull(slot).done(SlotResult(ResultClass.OK, 5))
                            }
                        }
                    }
                }
                granted.get() shouldBe 300
                links.service("a").invariantViolations shouldBe 0
            }
        }

        test("given a waiting caller, when it is cancelled, then the next caller gets the slot") {
            LocalPeerLinks(listOf("a"), listOf("s1")).use { links ->
                links.start()
                val service = links.service("a")
                withTimeout(20.seconds) {
                    val held = List(8) { service.acquire(request("held-$it")).getOrNull() }
                    val gone = async { service.acquire(request("gone")) }
                    awaitWaiting(service, 1)
                    gone.cancelAndJoin()
                    awaitWaiting(service, 0)
                    val next = async { service.acquire(request("next")) }
                    checkNotNull(held.first()).release()

                    next.await().getOrNull()?.requestId shouldBe "next"
                }
            }
        }

        test("given a waiting request, when its home dies, then the next home grants it") {
            val homeId = checkNotNull(RendezvousHash.highest("s1", listOf("a", "b")))
            val entryId = if (homeId == "a") "b" else "a"
            LocalPeerLinks(listOf("a", "b"), listOf("s1")).use { links ->
                links.start()
                val service = links.service(entryId)
                withTimeout(20.seconds) {
                    repeat(8) { links.service(homeId).acquire(request("held-$it")) }
                    val waiting = async { service.acquire(request("waiting")) }
                    awaitWaiting(links.service(homeId), 1)
                    links.kill(homeId)

                    waiting.await().getOrNull().shouldBeInstanceOf<Slot>()
                }
            }
        }

        test("given a waiting request, when the instance shuts down, then it is refused") {
            LocalPeerLinks(listOf("a"), listOf("s1")).use { links ->
                links.start()
                val service = links.service("a")
                withTimeout(20.seconds) {
                    repeat(8) { service.acquire(request("held-$it")) }
                    val waiting = async { service.acquire(request("waiting")) }
                    awaitWaiting(service, 1)
                    service.shutdown()

                    waiting.await().leftOrNull()?.reason shouldBe SlotRefusalReason.SHUTDOWN
                }
            }
        }
    }) {
    private companion object {
        fun request(id: String) =
            SlotRequest(
                id,
                Target.Service("booking"),
                "1",
                Tier.INTERACTIVE,
                "w",
                1.0,
                deadlineMillis = System.currentTimeMillis() + 60_000,
            )

        /** Polls the number of queued requests, since there is no event to wait for. */
        suspend fun awaitWaiting(service: HomeSlotService, count: Int) {
            while (service.waitingCount() != count) delay(5)
        }
    }
}
