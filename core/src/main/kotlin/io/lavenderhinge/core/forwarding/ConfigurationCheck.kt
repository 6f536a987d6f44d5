package io.lavenderhinge.core.forwarding

/**
 * Finds entries of a configuration that can never match and limits that contradict each other. Such
 * a configuration is valid and is put in force; the findings are for operators.
 */
object ConfigurationCheck {
    /**
     * Returns the findings of [config], by location. [serverCounts] has the number of servers of
     * the services for which it is known.
     */
    fun findings(
        config: ForwardingConfig,
        serverCounts: Map<String, Int> = emptyMap(),
    ): List<ConfigurationFinding> =
        versionFindings(config) +
            RouteCheck(config, serverCounts).findings() +
            serviceFindings(config) +
            WorkspaceCheck(config.workspaces.orEmpty()).findings()

    private fun versionFindings(config: ForwardingConfig): List<ConfigurationFinding> {
        if (config.version >= 1) return emptyList()
        val reason = "version ${config.version} never replaces another one"
        val remedy = "use a version above the one in force"
        return listOf(ConfigurationFinding(FindingKind.CONTRADICTION, "version", reason, remedy))
    }

    private fun serviceFindings(config: ForwardingConfig): List<ConfigurationFinding> {
        val usedServices = config.routes.flatMap { it.destinations }.map { it.service }.toSet()
        val locations =
            config.services.mapIndexed { index, service -> "services[$index] (${service.name})" }
        val unused =
            config.services.zip(locations).mapNotNull { (service, location) ->
                if (service.name in usedServices) null
                else
                    ConfigurationFinding(
                        FindingKind.UNREACHABLE,
                        location,
                        "no route leads to the service",
                        "add a route or remove the service",
                    )
            }
        return unused + duplicateNames(config.services.map { it.name }, locations)
    }
}

/** Returns a finding for each of [names] that an earlier one equals; [locations] are theirs. */
internal fun duplicateNames(
    names: List<String>,
    locations: List<String>,
): List<ConfigurationFinding> {
    val firstLocations = HashMap<String, String>()
    return names.zip(locations).mapNotNull { (name, location) ->
        firstLocations.putIfAbsent(name, location)?.let { first ->
            ConfigurationFinding(
                FindingKind.DUPLICATE,
                location,
                "has the same name as $first",
                "give each entry its own name",
            )
        }
    }
}
