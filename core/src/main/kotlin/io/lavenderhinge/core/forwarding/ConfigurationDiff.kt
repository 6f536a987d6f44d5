package io.lavenderhinge.core.forwarding

/**
 * A difference between two configurations: [entry] names a route, service, tenant or limit and
 * [fieldName] what differs; [fieldName] is empty if the entry as a whole was added or removed.
 * [before] and [after] are null where there is no value. None of them contains a credential.
 */
data class ConfigurationDifference(
    val entry: String,
    val fieldName: String,
    val before: String?,
    val after: String?,
) {
    /** One line for operators. */
    val message: String
        get() =
            when {
                fieldName.isNotEmpty() ->
                    "$entry $fieldName: ${before ?: "none"} -> ${after ?: "none"}"
                before == null -> "$entry: added"
                else -> "$entry: removed"
            }
}

/** Compares two configurations by the names of their entries. */
object ConfigurationDiff {
    private const val PRESENT = "present"

    /** Returns what changes from [before] to [after]. Of equal names, the last entry counts. */
    fun between(before: ForwardingConfig, after: ForwardingConfig): List<ConfigurationDifference> =
        changes("configuration", configurationFields(before), configurationFields(after)) +
            entryChanges("route", before.routes, after.routes, { it.name }, ::routeFields) +
            entryChanges("service", before.services, after.services, { it.name }) {
                mapOf("tokens per event" to it.tokensPerEvent)
            } +
            entryChanges(
                "tenant",
                before.workspaces.orEmpty(),
                after.workspaces.orEmpty(),
                { it.name },
                ::workspaceFields,
            ) +
            credentialChanges(before.workspaces.orEmpty(), after.workspaces.orEmpty())

    private fun <T> entryChanges(
        kind: String,
        before: List<T>,
        after: List<T>,
        nameOf: (T) -> String,
        fieldsOf: (T) -> Map<String, Any?>,
    ): List<ConfigurationDifference> {
        val old = before.associateBy(nameOf)
        val new = after.associateBy(nameOf)
        return (old.keys + new.keys).flatMap { name ->
            val oldEntry = old[name]
            val newEntry = new[name]
            val entry = "$kind $name"
            when {
                oldEntry == null ->
                    listOf(ConfigurationDifference(entry, "", before = null, after = PRESENT))
                newEntry == null ->
                    listOf(ConfigurationDifference(entry, "", before = PRESENT, after = null))
                else -> changes(entry, fieldsOf(oldEntry), fieldsOf(newEntry))
            }
        }
    }

    private fun changes(
        entry: String,
        before: Map<String, Any?>,
        after: Map<String, Any?>,
    ): List<ConfigurationDifference> =
        before.keys
            .filter { before[it] != after[it] }
            .map {
                ConfigurationDifference(entry, it, before[it]?.toString(), after[it]?.toString())
            }

    private fun credentialChanges(
        before: List<ForwardWorkspace>,
        after: List<ForwardWorkspace>,
    ): List<ConfigurationDifference> {
        val old = before.associate { it.name to it.credentials }
        return after.mapNotNull { workspace ->
            val oldKeys = old[workspace.name] ?: return@mapNotNull null
            val removed = (oldKeys - workspace.credentials).size
            val added = (workspace.credentials - oldKeys).size
            if (removed == 0 && added == 0) return@mapNotNull null
            ConfigurationDifference(
                "tenant ${workspace.name}",
                "keys",
                "${oldKeys.size}",
                "${workspace.credentials.size} ($removed removed, $added added)",
            )
        }
    }

    private fun configurationFields(config: ForwardingConfig): Map<String, Any?> =
        mapOf(
            "version" to config.version,
            "needs keys" to (config.workspaces != null),
            "header limit in bytes" to config.limits?.headBytes,
            "body limit in bytes" to config.limits?.bodyBytes,
            "header timeout in ms" to config.limits?.headMillis,
            "idle timeout in ms" to config.limits?.idleMillis,
        )

    private fun routeFields(route: ForwardRoute): Map<String, Any?> =
        mapOf(
            "host" to route.host,
            "prefix" to route.pathPrefix,
            "kind" to kindOf(route.kind),
            "target between events in ms" to
                (route.kind as? RouteKind.Streaming)?.targetGapMillis?.takeIf {
                    it != Long.MAX_VALUE
                },
            "timeout in ms" to route.timeoutMillis,
            "target in ms" to route.targetLatencyMillis,
            "priority" to route.priority,
            "destinations" to
                route.destinations.joinToString { "${it.service} (weight ${it.weight})" },
            "attempts" to route.maxServers,
            "allows anonymous requests" to route.allowsAnonymous,
        )

    private fun kindOf(kind: RouteKind): String =
        when (kind) {
            is RouteKind.Idempotent -> "idempotent"
            is RouteKind.NonIdempotent -> "not idempotent"
            is RouteKind.Streaming -> if (kind.resumable) "resumable stream" else "stream"
        }

    private fun workspaceFields(workspace: ForwardWorkspace): Map<String, Any?> =
        mapOf(
            "priority" to workspace.priority,
            "quota rate per second" to workspace.quota?.ratePerSecond,
            "quota burst" to workspace.quota?.burst,
            "quota unit" to workspace.quota?.let { if (it.countsTokens) "tokens" else "requests" },
            "tokens of a request without a count" to workspace.quota?.defaultTokens,
        )
}
