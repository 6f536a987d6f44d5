package io.lavenderhinge.core.forwarding

/** The configuration as seen by an instance. */
class ConfigurationView(
    /** Null until a configuration has been received. */
    val table: ForwardingTable?,
    /** True when the store or a peer recently confirmed that no newer configuration exists. */
    val isConfirmed: Boolean,
)

/** The properties of a request that determine its admission. */
data class RequestDescription(
    val host: String,
    val path: String,
    val credential: String?,
    /** Sum of prompt and output tokens; null when the request does not state them. */
    val tokens: Int?,
)

/** The result of [RequestAdmission]. */
sealed interface Admission {
    /** The request is forwarded to a destination of [route]. */
    data class Admitted(
        val route: ForwardRoute,
        val workspace: ForwardWorkspace?,
        /** Priority across all routes and workspaces; 0 is the most urgent. */
        val priority: Int,
        /** What [workspace] was charged; null if it has no quota. */
        val charge: QuotaCharge? = null,
    ) : Admission

    /** The request is rejected without contacting a backend server. */
    data class Rejected(
        val reason: Rejection,
        val retryAfterMillis: Long = 0,
        /** The values that led to the decision, for the log. */
        val details: String = "",
    ) : Admission

    /**
     * The instance has just started and does not know yet whether the request is within its quota.
     * It should be decided again soon, or answered with [rejected] if it cannot wait.
     */
    data class Undecided(val rejected: Rejected) : Admission
}

/** Reason why a request is rejected without contacting a backend server. */
enum class Rejection {
    /** No configuration has been received yet. */
    NO_CONFIGURATION,
    /** The newest known configuration denies the request, but a newer one may exist. */
    CONFIGURATION_UNCONFIRMED,
    NO_ROUTE,
    UNKNOWN_CREDENTIAL,
    OVER_QUOTA,
}

/** Admits or rejects requests by route, credential and quota, in this order. */
class RequestAdmission(private val quotas: QuotaLimiter) {
    /**
     * Admits or rejects [request] and charges an admitted request to its workspace. [isHeld] is
     * true if the request has waited for a configuration or for an earlier decision.
     */
    fun decide(
        view: ConfigurationView,
        request: RequestDescription,
        nowMillis: Long,
        isHeld: Boolean = false,
    ): Admission {
        val table = view.table ?: return rejected(Rejection.NO_CONFIGURATION, RETRY_MILLIS)
        val route =
            table.routeFor(request.host, request.path) ?: return denied(view, Rejection.NO_ROUTE)
        val workspace = request.credential?.let(table::workspaceFor)
        if (workspace == null && table.needsCredential && !route.allowsAnonymous) {
            return denied(view, Rejection.UNKNOWN_CREDENTIAL)
        }
        val admitted = Admission.Admitted(route, workspace, combinedPriority(route, workspace))
        if (workspace == null) return admitted
        val cost = cost(workspace, request)
        return when (quotas.decide(workspace, cost, nowMillis, isHeld)) {
            QuotaDecision.ADMITTED ->
                if (workspace.hasLimit) {
                    admitted.copy(charge = QuotaCharge(workspace.name, cost, nowMillis))
                } else {
                    admitted
                }
            QuotaDecision.OVER_QUOTA -> overQuota(workspace, request)
            QuotaDecision.UNDECIDED -> {
                val rejected = overQuota(workspace, request)
                val details = "${rejected.details}, undecided after the start"
                Admission.Undecided(rejected.copy(details = details))
            }
        }
    }

    private val ForwardWorkspace.hasLimit: Boolean
        get() = (quota?.ratePerSecond ?: 0.0) > 0

    // Workspace priority takes precedence; route priority orders requests within it.
    private fun combinedPriority(route: ForwardRoute, workspace: ForwardWorkspace?): Int {
        val routePriority = route.priority.coerceIn(0, ROUTE_PRIORITIES - 1)
        val workspacePriority = workspace?.priority ?: route.priority
        return workspacePriority * ROUTE_PRIORITIES + routePriority
    }

    // Clients do not retry a denied request, so a denial requires a confirmed configuration.
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
