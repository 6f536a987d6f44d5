package io.lavenderhinge.core.forwarding

/** What an instance knows of the configuration. */
class ConfigurationView(
    /** Null until a configuration is known. */
    val table: ForwardingTable?,
    /** True when the store or a peer confirmed lately that no newer configuration exists. */
    val isConfirmed: Boolean,
)

/** What decides about a request before a backend server is chosen. */
data class RequestDescription(
    val host: String,
    val path: String,
    val credential: String?,
    /** Prompt and output tokens; null when the request does not state them. */
    val tokens: Int?,
)

/** The result of [RequestAdmission]. */
sealed interface Admission {
    /** The request goes to a destination of [route]. */
    data class Admitted(
        val route: ForwardRoute,
        val workspace: ForwardWorkspace?,
        /** Position among all requests, 0 is the most urgent. */
        val priority: Int,
    ) : Admission

    /** The request is answered without a backend server. */
    data class Rejected(
        val reason: Rejection,
        val retryAfterMillis: Long = 0,
        /** What decided it, for the log. */
        val details: String = "",
    ) : Admission
}

/** Why a request is answered without a backend server. */
enum class Rejection {
    /** No configuration is known yet. */
    NO_CONFIGURATION,
    /** The newest known configuration does not allow it, but a newer one may exist. */
    CONFIGURATION_UNCONFIRMED,
    NO_ROUTE,
    UNKNOWN_CREDENTIAL,
    OVER_QUOTA,
}

/** Decides whether a request is admitted, by route, credential and quota, in this order. */
class RequestAdmission(private val quotas: QuotaLimiter) {
    /** Decides about [request]; an admitted request is charged to its workspace. */
    fun decide(view: ConfigurationView, request: RequestDescription, nowMillis: Long): Admission {
        val table = view.table ?: return rejected(Rejection.NO_CONFIGURATION, RETRY_MILLIS)
        val route =
            table.routeFor(request.host, request.path) ?: return denied(view, Rejection.NO_ROUTE)
        val workspace = request.credential?.let(table::workspaceFor)
        if (workspace == null && table.needsCredential && !route.allowsAnonymous) {
            return denied(view, Rejection.UNKNOWN_CREDENTIAL)
        }
        if (workspace != null && !quotas.tryAdmit(workspace, cost(workspace, request), nowMillis)) {
            return overQuota(workspace, request)
        }
        return Admission.Admitted(route, workspace, combinedPriority(route, workspace))
    }

    // The priority of a workspace goes before that of a route, which decides within it.
    private fun combinedPriority(route: ForwardRoute, workspace: ForwardWorkspace?): Int {
        val routePriority = route.priority.coerceIn(0, ROUTE_PRIORITIES - 1)
        val workspacePriority = workspace?.priority ?: route.priority
        return workspacePriority * ROUTE_PRIORITIES + routePriority
    }

    // A client does not repeat a request that was denied, so a denial must be certain.
    private fun denied(view: ConfigurationView, reason: Rejection) =
        if (view.isConfirmed) rejected(reason)
        else rejected(Rejection.CONFIGURATION_UNCONFIRMED, RETRY_MILLIS)

    private fun overQuota(workspace: ForwardWorkspace, request: RequestDescription) =
        Admission.Rejected(
            Rejection.OVER_QUOTA,
            quotas.retryAfterMillis(workspace).coerceAtLeast(RETRY_MILLIS),
            "workspace ${workspace.name}, cost ${cost(workspace, request)}, " +
                "level ${quotas.level(workspace.name)}, rate ${workspace.quota?.ratePerSecond}",
        )

    private fun rejected(reason: Rejection, retryAfterMillis: Long = 0) =
        Admission.Rejected(reason, retryAfterMillis)

    private fun cost(workspace: ForwardWorkspace, request: RequestDescription): Double {
        val quota = workspace.quota ?: return 0.0
        if (!quota.countsTokens) return 1.0
        return request.tokens?.toDouble() ?: quota.defaultTokens
    }

    private companion object {
        const val ROUTE_PRIORITIES = 16
        const val RETRY_MILLIS = 300L
    }
}
