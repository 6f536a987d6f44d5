package io.lavenderhinge.core.forwarding

/** Checks the workspaces of a configuration. Findings never contain a credential. */
internal class WorkspaceCheck(private val workspaces: List<ForwardWorkspace>) {
    private val locations =
        workspaces.mapIndexed { index, workspace -> "tenants[$index] (${workspace.name})" }

    fun findings(): List<ConfigurationFinding> =
        workspaces.zip(locations).flatMap { (workspace, location) ->
            listOfNotNull(withoutCredential(workspace, location), quota(workspace, location))
        } + sharedCredentials() + duplicateNames(workspaces.map { it.name }, locations)

    private fun withoutCredential(workspace: ForwardWorkspace, location: String) =
        ConfigurationFinding(
                FindingKind.UNREACHABLE,
                location,
                "has no key, so no request can be its own",
                "add a key or remove the tenant",
            )
            .takeIf { workspace.credentials.isEmpty() }

    private fun quota(workspace: ForwardWorkspace, location: String): ConfigurationFinding? {
        val quota = workspace.quota ?: return null
        val cost = if (quota.countsTokens) quota.defaultTokens else 1.0
        if (quota.burst >= cost) return null
        return ConfigurationFinding(
            FindingKind.CONTRADICTION,
            location,
            "the burst of ${quota.burst} is below the cost of one request, $cost",
            "raise the burst",
        )
    }

    // A request with a shared credential belongs to the last workspace that has it.
    private fun sharedCredentials(): List<ConfigurationFinding> {
        val owners = HashMap<String, Int>()
        workspaces.forEachIndexed { index, workspace ->
            workspace.credentials.forEach { owners[it] = index }
        }
        return workspaces.flatMapIndexed { index, workspace ->
            workspace.credentials
                .mapNotNull { owners[it]?.takeIf { owner -> owner != index } }
                .distinct()
                .map { owner ->
                    ConfigurationFinding(
                        FindingKind.DUPLICATE,
                        locations[index],
                        "has a key of ${locations[owner]}, which gets its requests",
                        "give each tenant its own keys",
                    )
                }
        }
    }
}
