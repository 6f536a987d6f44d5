package io.lavenderhinge.core.settings

/** Sections and keys of the file of an instance on the platform. */
internal object GatewaySchema {
    // The platform chooses these names.
    private val platformName = TokenType(maximumLength = 100)

    val id = Key("id", platformName, "name of the instance", required = true)
    val domain = Key("failure-domain", platformName, "failure domain", required = true)
    val region = Key("region", platformName, "region", required = true)

    val caller = BootstrapSchema.caller
    val ready = Key("ready", AddressType, "listener for readiness checks", required = true)
    val peer = BootstrapSchema.peer
    val operator = BootstrapSchema.operator

    val store = Key("store", AddressType, "the platform's metadata store", required = true)

    val gracePeriod =
        Key("grace-period", DurationType("1s", "10m"), "time from SIGTERM to SIGKILL", "8s")
    val repeatRatio =
        Key(
            "repeat-ratio",
            NumberType(minimum = 0.0, maximum = 1.0),
            "sends beyond the first as a share of the requests of a service",
            "0.2",
        )
    val repeatSlack =
        Key(
            "repeat-slack",
            NumberType(minimum = 0.0, maximum = 100_000.0),
            "sends beyond the first that the whole fleet has besides",
            "50",
        )

    val seeds = Key("instances", AddressListType, "instances to ask while the store is away", "")

    val sections =
        listOf(
            SectionSchema("instance", named = false, required = true, listOf(id, domain, region)),
            SectionSchema(
                "listen",
                named = false,
                required = true,
                listOf(caller, ready, peer, operator),
            ),
            SectionSchema("platform", named = false, required = true, listOf(store)),
            SectionSchema(
                "bounds",
                named = false,
                required = false,
                listOf(gracePeriod, repeatRatio, repeatSlack),
            ),
            SectionSchema("seeds", named = false, required = false, listOf(seeds)),
        )
}
