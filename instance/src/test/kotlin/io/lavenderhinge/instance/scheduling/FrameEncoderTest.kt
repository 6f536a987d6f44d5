package io.lavenderhinge.instance.scheduling

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.lavenderhinge.core.Tier
import io.lavenderhinge.core.limit.LimitStatement
import io.lavenderhinge.core.scheduling.GrantRequest
import io.lavenderhinge.core.scheduling.GrantRequestKey
import io.lavenderhinge.core.scheduling.HomeEffect
import io.lavenderhinge.core.scheduling.HomeEvent
import io.lavenderhinge.core.scheduling.RefusalReason
import io.lavenderhinge.core.scheduling.ResultClass
import io.lavenderhinge.core.scheduling.SlotResult
import kotlinx.collections.immutable.toImmutableList

class FrameEncoderTest :
    FunSpec({
        val request =
            GrantRequest(
                grantRequestId = "kf12oi",
                entryId = "entry",
                tier = Tier.STANDARD,
                workspace = "counter-lubbock",
                weight = 4.0,
                promptTokens = 1_000,
                outputTokens = 512,
                deadlineMillis = 31_000,
                prefixHashes = List(8) { it.toLong() }.toImmutableList(),
                firstTokenDueMillis = 1_700,
                mayPreempt = true,
            )

        fun received(event: HomeEvent): HomeEvent {
            val frame = checkNotNull(FrameEncoder.encode("engine-1", event, nowMillis = 1_000))
            val message = FrameDecoder.decode("entry", "home", frame, nowMillis = 501_000)
            return (message as SchedulingMessage.ToHome).event
        }

        test("given clocks 500 s apart, when a request is sent, then its remaining time is kept") {
            val expected = request.copy(deadlineMillis = 531_000, firstTokenDueMillis = 501_700)

            received(HomeEvent.Requested(request)) shouldBe HomeEvent.Requested(expected)
        }

        test(
            "given a result with a request limit, when encoded and decoded, then it is unchanged"
        ) {
            for (statement in listOf(null, LimitStatement(2.5), LimitStatement(null))) {
                val result = SlotResult(ResultClass.OK, limitStatement = statement)
                val event = HomeEvent.Finished(GrantRequestKey("entry", "1"), result)

                received(event) shouldBe event
            }
        }

        test("given every result class, when encoded and decoded, then it is unchanged") {
            for (resultClass in ResultClass.entries) {
                val event =
                    HomeEvent.Finished(
                        GrantRequestKey("entry", "1"),
                        SlotResult(resultClass, 200, 30_000, 1_000, 100),
                    )
                received(event) shouldBe event
            }
        }

        test("given every refusal reason, when encoded and decoded, then it is unchanged") {
            for (reason in RefusalReason.entries) {
                val refusal = HomeEffect.Refuse("entry", "1", reason, 1_500, 3)
                val frame = FrameEncoder.encode("engine-1", refusal)

                FrameDecoder.decode("home", "entry", frame, nowMillis = 0) shouldBe
                    SchedulingMessage.ToEntry("engine-1", refusal)
            }
        }

        test(
            "given a typical request, when its four messages are encoded, then they fit 260 bytes"
        ) {
            val result = SlotResult(ResultClass.OK, 200, 30_000, 1_000, 100)
            val frames =
                listOf(
                    FrameEncoder.encode("engine-1", HomeEvent.Requested(request), 0),
                    FrameEncoder.encode(
                        "engine-1",
                        HomeEffect.Grant("entry", request.grantRequestId, 512),
                    ),
                    FrameEncoder.encode("engine-1", HomeEvent.Registered(request), 0),
                    FrameEncoder.encode("engine-1", HomeEvent.Finished(request.key, result), 0),
                )

            // At 30 requests/s, the messages must leave room for gossip within 5 KB/s per
            // direction.
            val sizes = frames.map { checkNotNull(it).serializedSize }
            println("frame sizes in bytes: $sizes")
            sizes.sum() shouldBeLessThanOrEqual 260
        }
    })
