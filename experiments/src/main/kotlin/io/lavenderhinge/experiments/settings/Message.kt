package io.lavenderhinge.experiments.settings

import io.lavenderhinge.core.membership.Heartbeat
import io.lavenderhinge.core.settings.SettingsDigest
import io.lavenderhinge.core.settings.TeamText

/** A message between two simulated instances. */
internal sealed interface Message {
    val sizeBytes: Int

    class Digest(
        val heartbeats: List<Heartbeat>,
        val settings: SettingsDigest?,
        val replyWanted: Boolean,
    ) : Message {
        override val sizeBytes = WireSize.digest(heartbeats, settings)
    }

    class Delta(val texts: List<TeamText>, val wantedTeams: List<String>) : Message {
        override val sizeBytes = WireSize.delta(this)
    }
}
