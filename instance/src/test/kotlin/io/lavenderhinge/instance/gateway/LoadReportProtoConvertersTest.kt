package io.lavenderhinge.instance.gateway

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.lavenderhinge.core.ServerRun
import io.lavenderhinge.core.forwarding.LoadReport
import io.lavenderhinge.core.forwarding.PromptHolderReport
import io.lavenderhinge.core.forwarding.QueueKey
import io.lavenderhinge.core.forwarding.QueueState
import io.lavenderhinge.core.forwarding.RateLimitReport
import io.lavenderhinge.core.forwarding.ServerUse
import io.lavenderhinge.core.forwarding.StatedLoad
import io.lavenderhinge.core.forwarding.StatedLoadReport
import io.lavenderhinge.core.forwarding.WorkspaceKey
import io.lavenderhinge.core.forwarding.WorkspaceUse
import io.lavenderhinge.core.quarantine.CrashReport
import io.lavenderhinge.core.quarantine.QuarantineReport
import io.lavenderhinge.core.quarantine.SuspectKey
import io.lavenderhinge.core.quarantine.SuspectReport
import io.lavenderhinge.protocol.v1.LoadReport as LoadReportMessage

class LoadReportProtoConvertersTest :
    FunSpec({
        fun roundTrip(report: LoadReport): LoadReport {
            val bytes = LoadReportMessage.newBuilder().addLoad(report, emptyMap()).build()
            return LoadReportMessage.parseFrom(bytes.toByteArray()).toReport()
        }

        // Guards against a field of a load report that is lost between instances.
        test("given a load report, then its message holds all of it") {
            val run = ServerRun("i-1", startedMillis = 7)
            val report =
                LoadReport(
                    mapOf("i-1" to ServerUse(2, pendingTokens = 30.0)),
                    mapOf(QueueKey("s", 1) to QueueState(3, headWaitMillis = 4, isHeadLate = true)),
                    QuarantineReport(
                        listOf(CrashReport(run, "s", 5, listOf(SuspectKey(-6), SuspectKey(8)))),
                        answered = listOf(SuspectReport(SuspectKey(9), 10)),
                        quarantined = listOf(SuspectReport(SuspectKey(11), 12)),
                        alive = listOf(ServerRun("i-2", 13)),
                    ),
                    listOf(
                        RateLimitReport(run, limitPerSecond = 2.5, ageMillis = 14, sentCount = 15),
                        RateLimitReport(run, limitPerSecond = null, ageMillis = 16, sentCount = 17),
                    ),
                    listOf(PromptHolderReport(part = -18, "i-2", ageMillis = 19)),
                    listOf(
                        StatedLoadReport(run, StatedLoad(1, 2, 3, workTimeFactor = 2.5), 18),
                        StatedLoadReport(run, StatedLoad(4, 5, 6, workTimeFactor = null), 19),
                    ),
                    mapOf(WorkspaceKey("s", 1, "w") to WorkspaceUse(slotMillis = 18.5, 19)),
                )

            roundTrip(report) shouldBe report
        }

        test("given a report without crashes, then its message has none") {
            val report = LoadReport(emptyMap(), emptyMap())

            roundTrip(report) shouldBe report
        }
    })
