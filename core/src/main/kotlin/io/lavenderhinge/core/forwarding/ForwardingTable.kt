package io.lavenderhinge.core.forwarding

/** Looks up routes, services and workspaces of one [ForwardingConfig]. */
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

    /** True when requests carry a credential. */
    val needsCredential: Boolean
        get() = config.workspaces != null

    /** The route of [host] with the longest prefix that begins [path], or null. */
    fun routeFor(host: String, path: String): ForwardRoute? =
        routesByHost[host.lowercase()]?.firstOrNull { path.startsWith(it.pathPrefix) }

    /** The workspace that holds [credential], or null. */
    fun workspaceFor(credential: String): ForwardWorkspace? = workspaceByCredential[credential]

    /** The service named [name], or null. */
    fun service(name: String): ForwardService? = serviceByName[name]
}
