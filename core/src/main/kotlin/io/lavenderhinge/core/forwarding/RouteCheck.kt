package io.lavenderhinge.core.forwarding

/** Checks the routes of [config]; [serverCounts] has the servers of services where known. */
internal class RouteCheck(
    private val config: ForwardingConfig,
    private val serverCounts: Map<String, Int>,
) {
    private val services = config.services.map { it.name }.toSet()
    private val locations =
        config.routes.mapIndexed { index, route -> "routes[$index] (${route.name})" }

    fun findings(): List<ConfigurationFinding> =
        config.routes.zip(locations).flatMap { (route, location) ->
            unmatchable(route, location) +
                destinations(route, location) +
                times(route, location) +
                attempts(route, location)
        } + shadowed() + duplicateNames(config.routes.map { it.name }, locations)

    // The longest prefix of a host wins, so only an equal one hides a route.
    private fun shadowed(): List<ConfigurationFinding> {
        val firstLocations = HashMap<Pair<String, String>, String>()
        return config.routes.zip(locations).mapNotNull { (route, location) ->
            val key = route.host.lowercase() to route.pathPrefix
            firstLocations.putIfAbsent(key, location)?.let { first ->
                ConfigurationFinding(
                    FindingKind.UNREACHABLE,
                    location,
                    "is shadowed by $first, which has the same host and prefix",
                    "change the host or the prefix, or remove one of them",
                )
            }
        }
    }

    // Paths start with a slash and exclude the query.
    private fun unmatchable(route: ForwardRoute, location: String): List<ConfigurationFinding> {
        val prefix = route.pathPrefix
        if ((prefix.isEmpty() || prefix.startsWith("/")) && '?' !in prefix) return emptyList()
        val reason = "no path starts with the prefix `$prefix`"
        val remedy = "start the prefix with / and leave out the query"
        return listOf(ConfigurationFinding(FindingKind.UNREACHABLE, location, reason, remedy))
    }

    private fun destinations(route: ForwardRoute, location: String): List<ConfigurationFinding> {
        val unknown =
            route.destinations
                .filter { it.service !in services }
                .map {
                    ConfigurationFinding(
                        FindingKind.UNKNOWN_REFERENCE,
                        location,
                        "leads to the service ${it.service}, which is not listed",
                        "add the service or correct its name",
                    )
                }
        val isSplit = route.destinations.any { it.weight > 0 }
        val hasInvalidWeight = route.destinations.any { it.weight < 0 }
        if (isSplit && !hasInvalidWeight) return unknown
        val reason =
            if (hasInvalidWeight) "a weight of the traffic split is negative"
            else "no service of the traffic split has a weight"
        return unknown + contradiction(location, reason, "give each service a weight above 0")
    }

    private fun times(route: ForwardRoute, location: String): List<ConfigurationFinding> {
        val timeout = route.timeoutMillis
        val gap = (route.kind as? RouteKind.Streaming)?.targetGapMillis?.takeIf { it != NO_TARGET }
        return listOfNotNull(
            contradiction(location, "the timeout of $timeout ms leaves no time", RAISE_TIMEOUT)
                .takeIf { timeout <= 0 },
            contradiction(
                    location,
                    "the target of ${route.targetLatencyMillis} ms is above the timeout of " +
                        "$timeout ms",
                    LOWER_TARGET,
                )
                .takeIf { route.targetLatencyMillis > timeout },
            contradiction(
                    location,
                    "the target of ${route.targetLatencyMillis} ms cannot be met",
                    "raise the target",
                )
                .takeIf { route.targetLatencyMillis <= 0 },
            contradiction(
                    location,
                    "the target of $gap ms between events is above the timeout of $timeout ms",
                    LOWER_TARGET,
                )
                .takeIf { gap != null && gap > timeout },
        )
    }

    private fun attempts(route: ForwardRoute, location: String): List<ConfigurationFinding> {
        val tooFew =
            contradiction(
                    location,
                    "${route.maxServers} attempts do not include the first one",
                    "use 1 attempt or more",
                )
                .takeIf { route.maxServers < 1 }
        val tooMany =
            route.destinations.mapNotNull { destination ->
                val count = serverCounts[destination.service] ?: return@mapNotNull null
                contradiction(
                        location,
                        "${route.maxServers} attempts are more than the $count servers of " +
                            destination.service,
                        "lower the attempts or add servers",
                    )
                    .takeIf { route.maxServers > count }
            }
        return listOfNotNull(tooFew) + tooMany
    }

    private fun contradiction(location: String, reason: String, remedy: String) =
        ConfigurationFinding(FindingKind.CONTRADICTION, location, reason, remedy)

    private companion object {
        const val NO_TARGET = Long.MAX_VALUE
        const val RAISE_TIMEOUT = "raise the timeout"
        const val LOWER_TARGET = "lower the target or raise the timeout"
    }
}
