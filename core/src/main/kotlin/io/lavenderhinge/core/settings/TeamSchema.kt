package io.lavenderhinge.core.settings

import io.lavenderhinge.core.Tier

/** Sections and keys of a team's settings. */
internal object TeamSchema {
    private const val VERSION_LENGTH = 64
    private const val CREDENTIAL_LENGTH = 256
    private const val MINIMUM_WEIGHT = 0.01
    private const val MAXIMUM_WEIGHT = 1_000.0
    private const val MINIMUM_SHARE_PERCENT = 0.1

    // An unproven version must not get more than a small share of the traffic.
    private const val MAXIMUM_SHARE_PERCENT = 25.0

    private val booleans = ChoiceType(mapOf("true" to true, "false" to false))
    private val tiers = ChoiceType(Tier.entries.associateBy { it.name.lowercase() })
    private val untimed = ChoiceType(UntimedKeys.entries.associateBy { it.name.lowercase() })
    private val version = TokenType(VERSION_LENGTH)

    val teamName =
        SettingKey("name", NameType, "name of the team, as in the file name", required = true)

    val weight =
        SettingKey(
            "weight",
            NumberType(MINIMUM_WEIGHT, MAXIMUM_WEIGHT),
            "share of the workspace within a tier, relative to the others",
            default = "1",
        )
    val credential =
        SettingKey(
            "credential",
            TokenType(CREDENTIAL_LENGTH),
            "value of the caller's bearer token",
            required = true,
            secret = true,
        )

    val targetVersion = SettingKey("version", version, "version in force", required = true)

    val path = SettingKey("path", PathType, "requests to this path and below it", required = true)
    val model =
        SettingKey("model", NameType, "model that serves the route; either this or `service`")
    val service =
        SettingKey("service", NameType, "service that serves the route; either this or `model`")
    val tier = SettingKey("tier", tiers, "priority class", default = "standard")
    val idempotent =
        SettingKey(
            "idempotent",
            booleans,
            "false: each request is executed at most once",
            default = "true",
        )
    val deadline =
        SettingKey(
            "deadline",
            DurationType("10ms", "1h"),
            "time limit for the complete response",
            default = "30s",
        )
    val firstToken =
        SettingKey(
            "first-token",
            DurationType("1ms", "10m"),
            "target for the first token (model routes)",
            default = "1s",
        )
    val betweenTokens =
        SettingKey(
            "between-tokens",
            DurationType("1ms", "1m"),
            "target between tokens (model routes)",
            default = "46ms",
        )
    val retention =
        SettingKey(
            "retention",
            DurationType("1m", "7d"),
            "how long the outcome of a request is kept (`idempotent = false`)",
            default = "10m",
        )
    val untimedKeys =
        SettingKey(
            "untimed-keys",
            untimed,
            "idempotency keys without a creation time (`idempotent = false`)",
            default = "refuse",
        )

    val rolloutTarget =
        SettingKey(
            "target",
            TargetType,
            "model or service that moves to a new version",
            required = true,
        )
    val from = SettingKey("from", version, "version in force", required = true)
    val to = SettingKey("to", version, "version to move to", required = true)
    val rolloutDeadline =
        SettingKey(
            "deadline",
            InstantType,
            "time by which the new version serves all traffic",
            required = true,
        )
    val unprovedShare =
        SettingKey(
            "unproved-share",
            ShareType(MINIMUM_SHARE_PERCENT, MAXIMUM_SHARE_PERCENT),
            "largest share of traffic while the version is unproven",
            default = "5%",
        )

    val sections =
        listOf(
            SectionSchema("team", named = false, required = true, listOf(teamName)),
            SectionSchema("workspace", named = true, required = false, listOf(weight, credential)),
            SectionSchema("model", named = true, required = false, listOf(targetVersion)),
            SectionSchema("service", named = true, required = false, listOf(targetVersion)),
            SectionSchema(
                "route",
                named = true,
                required = false,
                listOf(
                    path,
                    model,
                    service,
                    tier,
                    idempotent,
                    deadline,
                    firstToken,
                    betweenTokens,
                    retention,
                    untimedKeys,
                ),
            ),
            SectionSchema(
                "rollout",
                named = true,
                required = false,
                listOf(rolloutTarget, from, to, rolloutDeadline, unprovedShare),
            ),
        )
}
