package io.lavenderhinge.instance.quarantine

import io.lavenderhinge.core.ServerRun
import io.lavenderhinge.core.quarantine.CrashReport
import io.lavenderhinge.core.quarantine.QuarantineReport
import io.lavenderhinge.core.quarantine.SuspectKey
import io.lavenderhinge.core.quarantine.SuspectReport
import io.lavenderhinge.protocol.v1.CrashObservations
import io.lavenderhinge.protocol.v1.ObservedCrash
import io.lavenderhinge.protocol.v1.PartObservation
import io.lavenderhinge.protocol.v1.ServerRun as ServerRunMessage

/** Converts this report to its protobuf message. */
internal fun QuarantineReport.toMessage(): CrashObservations =
    CrashObservations.newBuilder()
        .addAllCrashes(crashes.map { it.toMessage() })
        .addAllAnswered(answered.map { it.toMessage() })
        .addAllQuarantined(quarantined.map { it.toMessage() })
        .addAllAlive(alive.map { it.toMessage() })
        .build()

/** Reads the report from the message. */
internal fun CrashObservations.toReport() =
    QuarantineReport(
        crashesList.map { it.toReport() },
        answeredList.map { it.toReport() },
        quarantinedList.map { it.toReport() },
        aliveList.map { it.toRun() },
    )

private fun CrashReport.toMessage(): ObservedCrash =
    ObservedCrash.newBuilder()
        .setRun(run.toMessage())
        .setService(service)
        .setAgeMillis(ageMillis)
        .addAllSuspects(suspects.map { it.hash })
        .build()

private fun ObservedCrash.toReport() =
    CrashReport(run.toRun(), service, ageMillis, suspectsList.map(::SuspectKey))

private fun SuspectReport.toMessage(): PartObservation =
    PartObservation.newBuilder().setPart(key.hash).setAgeMillis(ageMillis).build()

private fun PartObservation.toReport() = SuspectReport(SuspectKey(part), ageMillis)

/** Converts this run to its protobuf message. */
internal fun ServerRun.toMessage(): ServerRunMessage =
    ServerRunMessage.newBuilder().setServerId(serverId).setStartedMillis(startedMillis).build()

/** Reads the run from the message. */
internal fun ServerRunMessage.toRun() = ServerRun(serverId, startedMillis)
