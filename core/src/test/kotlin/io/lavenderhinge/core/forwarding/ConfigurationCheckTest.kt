package io.lavenderhinge.core.forwarding

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toImmutableList
import kotlinx.collections.immutable.toImmutableSet

private val soundRoute =
    route(kind = RouteKind.Streaming(resumable = true, targetGapMillis = 300))
        .copy(name = "r", timeoutMillis = 2_000)

private val soundQuota = tokenQuota(ratePerSecond = 10.0, burst = 200.0)

private val negativeSplit = persistentListOf(WeightedService("s", 1.0), WeightedService("s", -1.0))

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

        // Guards against entries without effect and limits that cannot hold.
        context("given a fault, then it is the only finding") {
            withData(
                nameFn = { it.first },
                "routes[1] (q): is shadowed by routes[0] (r), which has the same host and prefix" to
                    config(soundRoute, soundRoute.copy(name = "q", host = "H")),
                "routes[0] (r): no path starts with the prefix `a/`" to
                    config(soundRoute.copy(pathPrefix = "a/")),
                "routes[1] (r): has the same name as routes[0] (r)" to
                    config(soundRoute, soundRoute.copy(pathPrefix = "/b/")),
                "routes[0] (r): a weight of the traffic split is negative" to
                    config(soundRoute.copy(destinations = negativeSplit)),
                "routes[0] (r): the target of 3000 ms is above the timeout of 2000 ms" to
                    config(soundRoute.copy(targetLatencyMillis = 3_000)),
                "routes[0] (r): the target of 2500 ms between events is above the timeout of " +
                    "2000 ms" to config(soundRoute.copy(kind = RouteKind.Streaming(false, 2_500))),
                "routes[0] (r): 0 attempts do not include the first one" to
                    config(soundRoute.copy(maxServers = 0)),
                "routes[0] (r): 3 attempts are more than the 2 servers of s" to
                    config(soundRoute.copy(maxServers = 3)),
                "tenants[0] (w): has no key, so no request can be its own" to
                    config(workspaces = listOf(tenant("w"))),
                "tenants[0] (v): has a key of tenants[1] (w), which gets its requests" to
                    config(workspaces = listOf(tenant("v", "k", "l"), tenant("w", "k"))),
                "tenants[0] (w): the burst of 9.0 is below the cost of one request, 200.0" to
                    config(workspaces = listOf(tenant("w", "k", quota = smallBurst))),
                "version: version 0 never replaces another one" to config(version = 0),
            ) { (finding, config) ->
                val findings = ConfigurationCheck.findings(config, mapOf("s" to 2))

                findings.map { "${it.location}: ${it.reason}" } shouldBe listOf(finding)
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
