package io.lavenderhinge.core.settings

import io.lavenderhinge.core.Tier
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.persistentListOf

/** Destination of the requests of a route. */
sealed interface Target {
    /** Name of the model or service, unique in its team. */
    val name: String

    /** Replicas of a model behind the chat-completions interface. */
    data class Model(override val name: String) : Target

    /** Replicas of a plain HTTP service. */
    data class Service(override val name: String) : Target
}

/** A customer of a team. [weight] is its share within a tier relative to other workspaces. */
data class Workspace(val id: String, val weight: Double, val credential: String)

/** The version of a model or service that is active outside a rollout. */
data class TargetSettings(val target: Target, val version: String)

/** How to handle an idempotency key without a creation time. */
enum class UntimedKeys {
    REFUSE,
    ACCEPT,
}

/**
 * A route: requests whose path is [path] or below it go to [target].
 *
 * A model route is chosen by path and, where several share a path, by the model that the request
 * names. Times are milliseconds. [retentionMillis] bounds how long the outcome of a non-idempotent
 * request is kept.
 */
data class Route(
    val name: String,
    val path: String,
    val target: Target,
    val tier: Tier,
    val idempotent: Boolean,
    val deadlineMillis: Long,
    val firstTokenMillis: Long,
    val betweenTokensMillis: Long,
    val retentionMillis: Long,
    val untimedKeys: UntimedKeys,
)

/** A declared rollout of a new version. [deadlineMillis] is in epoch milliseconds. */
data class RolloutSettings(
    val name: String,
    val target: Target,
    val fromVersion: String,
    val toVersion: String,
    val deadlineMillis: Long,
    val unprovedShareFraction: Double,
)

/** The settings of one team at one [revision]. */
data class TeamSettings(
    val team: String,
    val revision: Long,
    val workspaces: ImmutableList<Workspace> = persistentListOf(),
    val targets: ImmutableList<TargetSettings> = persistentListOf(),
    val routes: ImmutableList<Route> = persistentListOf(),
    val rollouts: ImmutableList<RolloutSettings> = persistentListOf(),
)

/** The active settings, by team. */
data class SettingsTree(val teams: ImmutableMap<String, TeamSettings>)
