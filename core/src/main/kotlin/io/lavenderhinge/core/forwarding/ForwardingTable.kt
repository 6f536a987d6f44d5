package io.lavenderhinge.core.forwarding

/** Indexes the routes, services and workspaces of a [ForwardingConfig] for lookups. */
class ForwardingTable(val config: ForwardingConfig) {
    private val routesByHost: Map<String, List<ForwardRoute>> =
        config.routes
            .groupBy { it.host.lowercase() }
            .mapValues { (_, routes) -> routes.sortedByDescending { it.pathPrefix.length } }
    private val workspaceByCredential: Map<String, ForwardWorkspace> =
        config.workspaces
            .orEmpty()
            .flatMap { workspace -> workspace.credentials.map { it to workspace } }
            .toMap()
    private val serviceByName = config.services.associateBy { it.name }

    /** True when requests must carry a credential. */
    val needsCredential: Boolean
        get() = config.workspaces != null

    /** Returns the route of [host] with the longest prefix that matches [path], or null. */
    fun routeFor(host: String, path: String): ForwardRoute? =
        routesByHost[host.lowercase()]?.firstOrNull { path.startsWith(it.pathPrefix) }

    /** Returns the workspace that [credential] belongs to, or null. */
    fun workspaceFor(credential: String): ForwardWorkspace? = workspaceByCredential[credential]

    /** Returns the service named [name], or null. */
    fun service(name: String): ForwardService? = serviceByName[name]
}
