package io.lavenderhinge.experiments.settings

import io.lavenderhinge.core.membership.Heartbeat
import io.lavenderhinge.core.settings.SettingsDigest

/** Computes the sizes in bytes of protobuf messages, including the overhead of the transport. */
internal object WireSize {
    /**
     * HTTP/2 and gRPC headers, plus one TCP/IP header each for the data and its acknowledgement.
     */
    const val FRAME_OVERHEAD_BYTES = 14 + 2 * 52

    /** One member of the live list, encoded as JSON. */
    const val LISTED_MEMBER_BYTES = 150

    fun digest(heartbeats: List<Heartbeat>, settings: SettingsDigest?): Int =
        FRAME_OVERHEAD_BYTES + 6 + heartbeats.sumOf(::heartbeat) + (settings?.let(::settings) ?: 0)

    fun delta(message: Message.Delta): Int =
        FRAME_OVERHEAD_BYTES +
            6 +
            message.texts.sumOf { it.text.length + it.team.length + 12 } +
            message.wantedTeams.sumOf { it.length + 2 }

    private fun heartbeat(heartbeat: Heartbeat): Int =
        2 +
            stringField(heartbeat.instanceId) +
            varintField(heartbeat.incarnation) +
            varintField(heartbeat.counter) +
            (if (heartbeat.leaving) 2 else 0) +
            stringField(heartbeat.address) +
            stringField(heartbeat.failureDomain)

    private fun settings(digest: SettingsDigest): Int =
        when (digest) {
            is SettingsDigest.Summary ->
                13 + digest.recent.entries.sumOf { revisionEntry(it.key, it.value) }
            is SettingsDigest.Buckets -> digest.hashes.indices.sumOf { revisionEntry("#$it", -1) }
            is SettingsDigest.Details ->
                digest.buckets.sumOf { revisionEntry("?$it", 0) } +
                    digest.revisions.entries.sumOf { revisionEntry(it.key, it.value.active) }
        }

    private fun revisionEntry(team: String, value: Long) =
        2 + stringField(team) + varintField(value)

    private fun stringField(text: String) = if (text.isEmpty()) 0 else 2 + text.length

    private fun varintField(value: Long): Int =
        if (value == 0L) 0 else 1 + (Long.SIZE_BITS - value.countLeadingZeroBits() + 6) / 7
}
