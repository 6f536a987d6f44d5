package io.lavenderhinge.core.settings

import arrow.core.Either
import arrow.core.NonEmptyList
import kotlinx.collections.immutable.persistentListOf

/** Parses the local settings file of an instance. */
object BootstrapParser {
    // Stands in for a missing address, which is reported as a fault.
    private val unsetAddress = Address("0.0.0.0", 0)

    /** Returns the settings in [text], or all its faults, which name [file]. */
    fun parse(text: String, file: String): Either<NonEmptyList<SettingsFault>, Bootstrap> =
        parseSettings(text, file, BootstrapSchema.sections) { document ->
            Bootstrap(
                identity(document.single("instance")),
                listen(document.single("listen")),
                platform(document.single("platform")),
                limits(document.single("limits")),
                document.single("seeds").value(BootstrapSchema.seeds) ?: persistentListOf(),
            )
        }

    private fun identity(section: SectionReader) =
        InstanceIdentity(
            section.value(BootstrapSchema.id).orEmpty(),
            section.value(BootstrapSchema.domain).orEmpty(),
            section.value(BootstrapSchema.region).orEmpty(),
        )

    private fun listen(section: SectionReader) =
        ListenAddresses(
            section.value(BootstrapSchema.caller) ?: unsetAddress,
            section.value(BootstrapSchema.peer) ?: unsetAddress,
            section.value(BootstrapSchema.operator) ?: unsetAddress,
        )

    private fun platform(section: SectionReader) =
        PlatformSettings(
            section.value(BootstrapSchema.keyValue) ?: unsetAddress,
            section.value(BootstrapSchema.liveList) ?: unsetAddress,
            section.value(BootstrapSchema.weightStore),
            section.value(BootstrapSchema.reads) ?: 0.0,
            section.value(BootstrapSchema.writes) ?: 0.0,
        )

    private fun limits(section: SectionReader) =
        ListenerLimits(
            section.value(BootstrapSchema.requestLine) ?: 0,
            section.value(BootstrapSchema.head) ?: 0,
            section.value(BootstrapSchema.body) ?: 0,
            section.value(BootstrapSchema.headTime) ?: 0,
            section.value(BootstrapSchema.bodyTime) ?: 0,
            section.value(BootstrapSchema.idleTime) ?: 0,
            section.value(BootstrapSchema.connections) ?: 0,
            section.value(BootstrapSchema.pipelined) ?: 0,
        )
}
