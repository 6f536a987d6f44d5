package io.lavenderhinge.instance.gateway

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.lavenderhinge.core.forwarding.RolloutReport
import io.lavenderhinge.core.forwarding.RolloutStage
import io.lavenderhinge.core.forwarding.SentRequests
import io.lavenderhinge.core.rollout.RouteCounts
import io.lavenderhinge.core.rollout.VersionCounts
import io.lavenderhinge.protocol.v1.LoadReport

/** Guards against counts or stages that change in a protobuf round trip. */
class RolloutProtoConvertersTest :
    FunSpec({
        test("given a report of each stage, then it is decoded as it was encoded") {
            val counts = RouteCounts(old = VersionCounts(9, 1, 2), new = VersionCounts(5, 3, 4))
            val reports =
                RolloutStage.entries.map {
                    RolloutReport(
                        "s",
                        7,
                        it,
                        1_200,
                        oldInFlight = 3,
                        mapOf("r" to counts),
                        SentRequests(total = 9, onTarget = 2, perSecond = 4.5),
                    )
                }
            val message = LoadReport.newBuilder()
            reports.forEach { message.addRollouts(it.toMessage()) }

            message.build().toRollouts().shouldContainExactly(reports)
        }
    })
