package io.lavenderhinge.core.settings

/** Sections and keys of the local settings file of an instance. */
internal object BootstrapSchema {
    // With the defaults, 320 instances use 1,600 of the platform's 2,000 reads per second, and 320
    // writes per second.
    private val callRate = NumberType(minimum = 0.1, maximum = 2_000.0)
    private val connectionCount = CountType(minimum = 1, maximum = 65_536)
    private val pipelineCount = CountType(minimum = 1, maximum = 256)
    private val listenerTime = DurationType("100ms", "10m")

    val id =
        SettingKey("id", NameType, "name of the instance, unique in the fleet", required = true)
    val domain = SettingKey("failure-domain", NameType, "failure domain", required = true)
    val region = SettingKey("region", NameType, "region", required = true)

    val caller = SettingKey("caller", AddressType, "listener for callers", required = true)
    val peer = SettingKey("peer", AddressType, "listener for other instances", required = true)
    val operator = SettingKey("operator", AddressType, "listener for operators", required = true)

    val keyValue = SettingKey("key-value", UrlType, "key-value service", required = true)
    val liveList = SettingKey("live-list", UrlType, "list of live members", required = true)
    val weightStore =
        SettingKey("weight-store", UrlType, "weight store; absent: no weights are checked")
    val reads =
        SettingKey("reads-per-second", callRate, "budget of reads of the key-value service", "5")
    val writes =
        SettingKey("writes-per-second", callRate, "budget of writes of the key-value service", "1")

    val seeds =
        SettingKey(
            "peers",
            AddressListType,
            "peer ports to contact while the live list is unavailable",
            "",
        )

    val requestLine =
        SettingKey(
            "request-line",
            SizeType("256B", "64KB"),
            "largest request line",
            default = "4KB",
        )
    val head = SettingKey("head", SizeType("1KB", "1MB"), "largest request head", default = "16KB")
    val body = SettingKey("body", SizeType("1KB", "256MB"), "largest request body", default = "4MB")
    val headTime = SettingKey("head-time", listenerTime, "time to send the head", default = "10s")
    val bodyTime = SettingKey("body-time", listenerTime, "time to send the body", default = "30s")
    val idleTime =
        SettingKey("idle-time", listenerTime, "idle time of a connection", default = "75s")
    val connections =
        SettingKey(
            "connections",
            connectionCount,
            "open connections of a listener",
            default = "4096",
        )
    val pipelined =
        SettingKey("pipelined-requests", pipelineCount, "requests waiting on a connection", "16")

    val sections =
        listOf(
            SectionSchema("instance", named = false, required = true, listOf(id, domain, region)),
            SectionSchema("listen", named = false, required = true, listOf(caller, peer, operator)),
            SectionSchema(
                "platform",
                named = false,
                required = true,
                listOf(keyValue, liveList, weightStore, reads, writes),
            ),
            SectionSchema("seeds", named = false, required = false, listOf(seeds)),
            SectionSchema(
                "limits",
                named = false,
                required = false,
                listOf(
                    requestLine,
                    head,
                    body,
                    headTime,
                    bodyTime,
                    idleTime,
                    connections,
                    pipelined,
                ),
            ),
        )
}
