package io.lavenderhinge.core.settings

import arrow.core.Either
import arrow.core.NonEmptyList
import io.lavenderhinge.core.forwarding.ColdTolerance
import io.lavenderhinge.core.forwarding.ExposureLimit
import io.lavenderhinge.core.forwarding.FeatureMode
import io.lavenderhinge.core.forwarding.PropagationBounds
import io.lavenderhinge.core.forwarding.QuotaTolerance
import io.lavenderhinge.core.forwarding.RegionTable
import io.lavenderhinge.core.forwarding.SchedulingFeatures
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf

/** Parses the settings file of a gateway. */
object GatewaySettingsParser {
    // Stands in for a missing address, which is reported as a fault.
    private val unsetAddress = Address("0.0.0.0", 0)

    /** Returns the settings in [text], or all its faults, which name [file]. */
    fun parse(text: String, file: String): Either<NonEmptyList<SettingsFault>, GatewaySettings> =
        parseSettings(text, file, GatewaySchema.sections) { document ->
            GatewaySettings(
                identity(document.single("instance")),
                regions(document.single("instance")),
                listen(document.single("listen")),
                document.single("platform").value(GatewaySchema.store) ?: unsetAddress,
                bounds(document.single("bounds")),
                scheduling(document.single("scheduling")),
                document.single("seeds").value(GatewaySchema.seeds) ?: persistentListOf(),
            )
        }

    private fun identity(section: SectionReader) =
        InstanceIdentity(
            section.value(GatewaySchema.id).orEmpty(),
            section.value(GatewaySchema.domain).orEmpty(),
            section.value(GatewaySchema.region).orEmpty(),
        )

    private fun regions(section: SectionReader) =
        RegionTable(section.value(GatewaySchema.regions) ?: persistentMapOf())

    private fun listen(section: SectionReader) =
        GatewayListeners(
            section.value(GatewaySchema.caller) ?: unsetAddress,
            section.value(GatewaySchema.ready) ?: unsetAddress,
            section.value(GatewaySchema.peer) ?: unsetAddress,
            section.value(GatewaySchema.operator) ?: unsetAddress,
        )

    private fun bounds(section: SectionReader) =
        GatewayBounds(
            section.value(GatewaySchema.gracePeriod) ?: 0,
            PropagationBounds(
                section.value(GatewaySchema.configurationApply) ?: 0,
                section.value(GatewaySchema.contactTimeout) ?: 0,
                section.value(GatewaySchema.drain) ?: 0,
                section.value(GatewaySchema.evacuation) ?: 0,
            ),
            section.value(GatewaySchema.repeatRatio) ?: 0.0,
            section.value(GatewaySchema.repeatSlack) ?: 0.0,
            QuotaTolerance(
                section.value(GatewaySchema.quotaWindow) ?: 0,
                section.value(GatewaySchema.quotaOverage) ?: 0.0,
                section.value(GatewaySchema.quotaSlack) ?: 0.0,
            ),
            ColdTolerance(
                section.value(GatewaySchema.coldOverage) ?: 1.0,
                section.value(GatewaySchema.coldSlack) ?: 0.0,
            ),
            ExposureLimit(
                section.value(GatewaySchema.exposureShare) ?: 0.0,
                section.value(GatewaySchema.exposureSlack) ?: 0.0,
            ),
        )

    private fun scheduling(section: SectionReader): SchedulingFeatures {
        fun mode(key: SettingKey<FeatureMode>) = section.value(key) ?: FeatureMode.OFF
        return SchedulingFeatures(
            fairShares = mode(GatewaySchema.fairShares),
            promptMatching = mode(GatewaySchema.promptMatching),
            domainSpillover = mode(GatewaySchema.domainSpillover),
            quotaRefunds = mode(GatewaySchema.quotaRefunds),
            pacedReturns = mode(GatewaySchema.pacedReturns),
        )
    }
}
