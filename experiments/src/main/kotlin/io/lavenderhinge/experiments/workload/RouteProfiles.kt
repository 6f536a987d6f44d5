package io.lavenderhinge.experiments.workload

import io.lavenderhinge.core.Tier
import io.lavenderhinge.core.settings.Route
import io.lavenderhinge.core.settings.Target
import io.lavenderhinge.core.settings.UntimedKeys

private val ZERO_LENGTH = LengthDistribution(median = 0, sigma = 0.0, min = 0, max = 0)

// Prompt lengths span a factor of 100, from about 100 tokens to more than 10,000.
private val SHORT_TEMPLATE = LengthDistribution(median = 400, sigma = 0.8, min = 64, max = 2_000)
private val LONG_TEMPLATE = LengthDistribution(median = 700, sigma = 0.8, min = 64, max = 4_000)
private val SHORT_UNIQUE = LengthDistribution(median = 150, sigma = 1.0, min = 20, max = 2_500)
private val MEDIUM_UNIQUE = LengthDistribution(median = 300, sigma = 1.2, min = 20, max = 6_000)
private val LONG_UNIQUE = LengthDistribution(median = 600, sigma = 1.2, min = 20, max = 10_000)
private val SHORT_OUTPUT = LengthDistribution(median = 100, sigma = 0.9, min = 8, max = 800)
private val MEDIUM_OUTPUT = LengthDistribution(median = 150, sigma = 1.0, min = 10, max = 1_000)
private val LONG_OUTPUT = LengthDistribution(median = 250, sigma = 1.0, min = 20, max = 2_000)
private val SERVICE_MILLIS = LengthDistribution(median = 120, sigma = 1.0, min = 10, max = 2_000)

/** Routes of the `caprock` deployment: counter drafts, release flags, summaries and records. */
internal fun caprockRoutes(model: String): List<RouteProfile> =
    listOf(
        modelRoute("draft", model, Tier.INTERACTIVE, 0.40, SHORT_UNIQUE to SHORT_OUTPUT),
        modelRoute("flag", model, Tier.STANDARD, 0.23, MEDIUM_UNIQUE to MEDIUM_OUTPUT),
        modelRoute("summary", model, Tier.BATCH, 0.20, LONG_UNIQUE to LONG_OUTPUT),
        serviceRoute("sign", "counter", Tier.INTERACTIVE, 0.11, idempotent = false),
        serviceRoute("lookup", "counter", Tier.STANDARD, 0.06, idempotent = true),
    )

/** Routes of the `pelnu` deployment: stock lookups, route summaries, quality reports, bookings. */
internal fun pelnuRoutes(model: String): List<RouteProfile> =
    listOf(
        modelRoute("stock", model, Tier.INTERACTIVE, 0.42, SHORT_UNIQUE to SHORT_OUTPUT),
        modelRoute("route-summary", model, Tier.STANDARD, 0.25, MEDIUM_UNIQUE to MEDIUM_OUTPUT),
        modelRoute("quality-report", model, Tier.BATCH, 0.19, LONG_UNIQUE to LONG_OUTPUT).let {
            it.copy(route = it.route.copy(idempotent = false))
        },
        serviceRoute("book", "booking", Tier.INTERACTIVE, 0.14, idempotent = false),
    )

private fun modelRoute(
    name: String,
    model: String,
    tier: Tier,
    share: Double,
    lengths: Pair<LengthDistribution, LengthDistribution>,
) =
    RouteProfile(
        route = route("$name-$model", Target.Model(model), tier, idempotent = true),
        shareFraction = share,
        templateCount = 8,
        templateTokens = if (tier == Tier.BATCH) LONG_TEMPLATE else SHORT_TEMPLATE,
        uniqueTokens = lengths.first,
        outputTokens = lengths.second,
        serviceMillis = ZERO_LENGTH,
    )

private fun serviceRoute(
    name: String,
    service: String,
    tier: Tier,
    share: Double,
    idempotent: Boolean,
) =
    RouteProfile(
        route =
            route(name, Target.Service(service), tier, idempotent)
                .copy(deadlineMillis = SERVICE_DEADLINE_MILLIS),
        shareFraction = share,
        templateCount = 0,
        templateTokens = ZERO_LENGTH,
        uniqueTokens = ZERO_LENGTH,
        outputTokens = ZERO_LENGTH,
        serviceMillis = SERVICE_MILLIS,
    )

private fun route(name: String, target: Target, tier: Tier, idempotent: Boolean) =
    Route(
        name = name,
        path = "/$name",
        target = target,
        tier = tier,
        idempotent = idempotent,
        deadlineMillis = DEADLINE_MILLIS.getValue(tier),
        firstTokenMillis = FIRST_TOKEN_MILLIS.getValue(tier),
        betweenTokensMillis = BETWEEN_TOKENS_MILLIS.getValue(tier),
        retentionMillis = 600_000,
        untimedKeys = UntimedKeys.REFUSE,
    )

// Interactive latency targets are from section 1.2 of docs/design.md; lower tiers are looser.
private val DEADLINE_MILLIS =
    mapOf(Tier.INTERACTIVE to 30_000L, Tier.STANDARD to 60_000L, Tier.BATCH to 120_000L)
private const val SERVICE_DEADLINE_MILLIS = 10_000L
private val FIRST_TOKEN_MILLIS =
    mapOf(Tier.INTERACTIVE to 1_000L, Tier.STANDARD to 5_000L, Tier.BATCH to 30_000L)
private val BETWEEN_TOKENS_MILLIS =
    mapOf(Tier.INTERACTIVE to 46L, Tier.STANDARD to 92L, Tier.BATCH to 230L)
