package io.lavenderhinge.core.settings

/** A workspace and its team. */
data class WorkspaceMatch(val team: TeamSettings, val workspace: Workspace)

/** Looks up workspaces and routes of a [SettingsTree] without a scan for each request. */
class RouteTable(tree: SettingsTree) {
    private val byCredential: Map<String, WorkspaceMatch> =
        tree.teams.values
            .flatMap { team -> team.workspaces.map { WorkspaceMatch(team, it) } }
            .associateBy { it.workspace.credential }

    /** The workspace whose bearer token is [credential], or null. */
    fun workspaceFor(credential: String): WorkspaceMatch? = byCredential[credential]

    /**
     * The route of [team] with the longest path that covers [path]. Among model routes that share
     * the path, [model] decides; without a match by name there is no route.
     */
    fun routeFor(team: TeamSettings, path: String, model: String?): Route? {
        val covering = team.routes.filter { covers(it.path, path) }
        val longest = covering.maxOfOrNull { it.path.length } ?: return null
        val candidates = covering.filter { it.path.length == longest }
        if (model == null) return candidates.first()
        return candidates.firstOrNull { it.target !is Target.Model || it.target.name == model }
    }

    private fun covers(routePath: String, path: String): Boolean =
        path == routePath || path.startsWith("${routePath.trimEnd('/')}/")
}
