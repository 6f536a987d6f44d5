package io.lavenderhinge.core.settings

import io.lavenderhinge.core.forwarding.FeatureMode

/** Sections and keys of the settings file of a gateway, an instance on the platform. */
internal object GatewaySchema {
    // The platform assigns these names, so the rules of NameType do not apply to them.
    private val platformName = TokenType(maximumLength = 100)

    val id = SettingKey("id", platformName, "name of the instance", required = true)
    val domain = SettingKey("failure-domain", platformName, "failure domain", required = true)
    val region = SettingKey("region", platformName, "region", required = true)

    val regions = SettingKey("regions", RegionTableType, "region of each failure domain", "")

    val caller = BootstrapSchema.caller
    val ready = SettingKey("ready", AddressType, "listener for readiness checks", required = true)
    val peer = BootstrapSchema.peer
    val operator = BootstrapSchema.operator

    val store = SettingKey("store", AddressType, "the platform's metadata store", required = true)

    val gracePeriod =
        SettingKey("grace-period", DurationType("1s", "10m"), "time from SIGTERM to SIGKILL", "8s")
    val configurationApply =
        SettingKey(
            "configuration-apply",
            DurationType("100ms", "10m"),
            "time until a new configuration is in force on every instance",
            "2s",
        )
    val contactTimeout =
        SettingKey(
            "contact-timeout",
            DurationType("100ms", "10m"),
            "time within which a lost connection to the store is replaced",
            "3s",
        )
    val drain =
        SettingKey(
            "drain",
            DurationType("100ms", "10m"),
            "time until a leaving backend server gets no more requests",
            "2s",
        )
    val evacuation =
        SettingKey(
            "evacuation",
            DurationType("100ms", "10m"),
            "time until an evacuated failure domain gets no more requests",
            "5s",
        )
    val repeatRatio =
        SettingKey(
            "repeat-ratio",
            NumberType(minimum = 0.0, maximum = 1.0),
            "retries as a share of the requests of a service",
            "0.2",
        )
    val repeatSlack =
        SettingKey(
            "repeat-slack",
            NumberType(minimum = 0.0, maximum = 100_000.0),
            "additional retries of the whole fleet in each window",
            "50",
        )
    val quotaWindow =
        SettingKey(
            "quota-window",
            DurationType("1s", "10m"),
            "window over which quotas are measured",
            "8s",
        )
    val quotaOverage =
        SettingKey(
            "quota-overage",
            NumberType(minimum = 0.0, maximum = 1.0),
            "tolerated share above a quota",
            "0",
        )
    val quotaSlack =
        SettingKey(
            "quota-slack",
            NumberType(minimum = 0.0, maximum = 1e9),
            "tolerated cost above a quota in each window",
            "0",
        )

    val coldOverage =
        SettingKey(
            "cold-overage",
            NumberType(minimum = 1.0, maximum = 100.0),
            "tolerated multiple of the limit of a cold backend server in any second",
            "1",
        )
    val coldSlack =
        SettingKey(
            "cold-slack",
            NumberType(minimum = 0.0, maximum = 100_000.0),
            "tolerated requests above that in any second",
            "0",
        )

    val exposureShare =
        SettingKey(
            "exposure-share",
            NumberType(minimum = 0.0, maximum = 0.99),
            "share of a service's requests that a version may get until its rollout is over",
            "0.1",
        )
    val exposureSlack =
        SettingKey(
            "exposure-slack",
            NumberType(minimum = 0.0, maximum = 100_000.0),
            "requests above that share",
            "50",
        )

    val seeds =
        SettingKey(
            "instances",
            AddressListType,
            "instances to contact while the store is unavailable",
            "",
        )

    private val featureMode =
        ChoiceType(
            mapOf("auto" to FeatureMode.AUTO, "on" to FeatureMode.ON, "off" to FeatureMode.OFF)
        )

    val fairShares =
        SettingKey("fair-shares", featureMode, "shares of slot time for workspaces", "auto")
    val promptMatching =
        SettingKey("prompt-matching", featureMode, "freed slots prefer prompts they hold", "auto")
    val domainSpillover =
        SettingKey("domain-spillover", featureMode, "share sent to other failure domains", "off")
    val quotaRefunds =
        SettingKey("quota-refunds", featureMode, "quota is charged for what runs", "auto")
    val pacedReturns =
        SettingKey("paced-returns", featureMode, "order in which callers return", "auto")

    private val bounds =
        listOf(
            gracePeriod,
            configurationApply,
            contactTimeout,
            drain,
            evacuation,
            repeatRatio,
            repeatSlack,
            quotaWindow,
            quotaOverage,
            quotaSlack,
            coldOverage,
            coldSlack,
            exposureShare,
            exposureSlack,
        )

    val sections =
        listOf(
            SectionSchema(
                "instance",
                named = false,
                required = true,
                listOf(id, domain, region, regions),
            ),
            SectionSchema(
                "listen",
                named = false,
                required = true,
                listOf(caller, ready, peer, operator),
            ),
            SectionSchema("platform", named = false, required = true, listOf(store)),
            SectionSchema("bounds", named = false, required = false, bounds),
            SectionSchema(
                "scheduling",
                named = false,
                required = false,
                listOf(fairShares, promptMatching, domainSpillover, quotaRefunds, pacedReturns),
            ),
            SectionSchema("seeds", named = false, required = false, listOf(seeds)),
        )
}
