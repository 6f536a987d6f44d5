package io.lavenderhinge.core.forwarding

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toImmutableList
import kotlinx.collections.immutable.toImmutableSet

private val soundRoute =
    ForwardRoute(
        name = "r",
        host = "h",
        pathPrefix = "/a/",
        kind = RouteKind.Streaming(resumable = true, targetGapMillis = 300),
        timeoutMillis = 2_000,
        targetLatencyMillis = 500,
        priority = 0,
        destinations = persistentListOf(WeightedService("s", 1.0)),
        maxServers = 2,
        allowsAnonymous = false,
    )

private val soundQuota = WorkspaceQuota(10.0, 200.0, countsTokens = true, defaultTokens = 200.0)

private val smallBurst = soundQuota.copy(burst = 9.0)

private fun tenant(name: String, vararg credentials: String, quota: WorkspaceQuota = soundQuota) =
    ForwardWorkspace(name, credentials.toList().toImmutableSet(), priority = null, quota)

private fun config(
    vararg routes: ForwardRoute = arrayOf(soundRoute),
    workspaces: List<ForwardWorkspace> = listOf(tenant("w", "k")),
    version: Long = 1,
) =
    ForwardingConfig(
        version,
        routes.toList().toImmutableList(),
        persistentListOf(ForwardService("s", 1)),
        workspaces.toImmutableList(),
        limits = null,
    )

class ConfigurationCheckTest :
    FunSpec({
        // Guards against findings that hide the real ones.
        test("given a sound configuration, then there are no findings") {
            ConfigurationCheck.findings(config(), mapOf("s" to 2)).shouldBeEmpty()
        }

        data class Case(val name: String, val config: ForwardingConfig, val finding: String)

        // Guards against entries without effect and limits that cannot hold.
        context("given a fault, then it is the only finding") {
            withData(
                nameFn = { it.name },
                Case(
                    "a route with the host and prefix of another one",
                    config(soundRoute, soundRoute.copy(name = "q", host = "H")),
                    "routes[1] (q): is shadowed by routes[0] (r), which has the same host and " +
                        "prefix",
                ),
                Case(
                    "a prefix without a slash",
                    config(soundRoute.copy(pathPrefix = "a/")),
                    "routes[0] (r): no path starts with the prefix `a/`",
                ),
                Case(
                    "a route name that stands twice",
                    config(soundRoute, soundRoute.copy(pathPrefix = "/b/")),
                    "routes[1] (r): has the same name as routes[0] (r)",
                ),
                Case(
                    "a negative weight",
                    config(
                        soundRoute.copy(
                            destinations =
                                persistentListOf(
                                    WeightedService("s", 1.0),
                                    WeightedService("s", -1.0),
                                )
                        )
                    ),
                    "routes[0] (r): a weight of the traffic split is negative",
                ),
                Case(
                    "a target above the timeout",
                    config(soundRoute.copy(targetLatencyMillis = 3_000)),
                    "routes[0] (r): the target of 3000 ms is above the timeout of 2000 ms",
                ),
                Case(
                    "a target between events above the timeout",
                    config(soundRoute.copy(kind = RouteKind.Streaming(false, 2_500))),
                    "routes[0] (r): the target of 2500 ms between events is above the timeout of " +
                        "2000 ms",
                ),
                Case(
                    "no attempt",
                    config(soundRoute.copy(maxServers = 0)),
                    "routes[0] (r): 0 attempts do not include the first one",
                ),
                Case(
                    "more attempts than servers",
                    config(soundRoute.copy(maxServers = 3)),
                    "routes[0] (r): 3 attempts are more than the 2 servers of s",
                ),
                Case(
                    "a tenant without a key",
                    config(workspaces = listOf(tenant("w"))),
                    "tenants[0] (w): has no key, so no request can be its own",
                ),
                Case(
                    "a key of two tenants",
                    config(workspaces = listOf(tenant("v", "k", "l"), tenant("w", "k"))),
                    "tenants[0] (v): has a key of tenants[1] (w), which gets its requests",
                ),
                Case(
                    "a burst below one request",
                    config(workspaces = listOf(tenant("w", "k", quota = smallBurst))),
                    "tenants[0] (w): the burst of 9.0 is below the cost of one request, 200.0",
                ),
                Case(
                    "no version",
                    config(version = 0),
                    "version: version 0 never replaces another one",
                ),
            ) { case ->
                val findings = ConfigurationCheck.findings(case.config, mapOf("s" to 2))

                findings.map { "${it.location}: ${it.reason}" } shouldBe listOf(case.finding)
            }
        }

        test("given a service that is not listed, then it and the unused one are named") {
            val destinations = persistentListOf(WeightedService("t", 1.0))

            val findings =
                ConfigurationCheck.findings(config(soundRoute.copy(destinations = destinations)))

            findings.map { it.kind to it.location } shouldBe
                listOf(
                    FindingKind.UNKNOWN_REFERENCE to "routes[0] (r)",
                    FindingKind.UNREACHABLE to "services[0] (s)",
                )
        }

        // Guards against a change that the operator does not see before it is in force.
        test("given two versions, then entries and fields that differ are named") {
            val before = config(soundRoute, soundRoute.copy(name = "q"))
            val after =
                config(
                    soundRoute.copy(maxServers = 3),
                    soundRoute.copy(name = "p"),
                    workspaces = listOf(tenant("w", "k", quota = smallBurst)),
                )

            ConfigurationDiff.between(before, after).map { it.message } shouldBe
                listOf(
                    "route r attempts: 2 -> 3",
                    "route q: removed",
                    "route p: added",
                    "tenant w quota burst: 200.0 -> 9.0",
                )
        }
    })
