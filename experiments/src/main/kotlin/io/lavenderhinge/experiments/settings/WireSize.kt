package io.lavenderhinge.experiments.settings

import io.lavenderhinge.core.membership.Heartbeat
import io.lavenderhinge.core.settings.SettingsDigest

/** Sizes in bytes of the messages as protocol buffers, and of what carries them. */
internal object WireSize {
    /** HTTP/2 and gRPC headers, and one TCP/IP header each for the data and its acknowledgement. */
    const val FRAME_OVERHEAD = 14 + 2 * 52

    /** One member of the live list as JSON. */
    const val MEMBER = 150

    fun digest(heartbeats: List<Heartbeat>, settings: SettingsDigest?): Int =
        FRAME_OVERHEAD + 6 + heartbeats.sumOf(::heartbeat) + (settings?.let(::settings) ?: 0)

    fun delta(message: Message.Delta): Int =
        FRAME_OVERHEAD +
            6 +
            message.texts.sumOf { it.text.length + it.team.length + 12 } +
            message.wantedTeams.sumOf { it.length + 2 }

    private fun heartbeat(heartbeat: Heartbeat): Int =
        2 +
            text(heartbeat.instanceId) +
            number(heartbeat.incarnation) +
            number(heartbeat.counter) +
            (if (heartbeat.leaving) 2 else 0) +
            text(heartbeat.address) +
            text(heartbeat.failureDomain)

    private fun settings(digest: SettingsDigest): Int =
        when (digest) {
            is SettingsDigest.Summary ->
                13 + digest.recent.entries.sumOf { entry(it.key, it.value) }
            is SettingsDigest.Buckets -> digest.hashes.indices.sumOf { entry("#$it", -1) }
            is SettingsDigest.Details ->
                digest.buckets.sumOf { entry("?$it", 0) } +
                    digest.revisions.entries.sumOf { entry(it.key, it.value.active) }
        }

    private fun entry(team: String, value: Long) = 2 + text(team) + number(value)

    private fun text(text: String) = if (text.isEmpty()) 0 else 2 + text.length

    private fun number(value: Long): Int =
        if (value == 0L) 0 else 1 + (Long.SIZE_BITS - value.countLeadingZeroBits() + 6) / 7
}
