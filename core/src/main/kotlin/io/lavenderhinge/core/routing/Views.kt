package io.lavenderhinge.core.routing

import io.lavenderhinge.core.scheduling.ServerHealth
import io.lavenderhinge.core.settings.Target

/** A live instance that can be a home. */
data class InstanceView(val id: String, val failureDomain: String)

/**
 * A backend server as this instance sees it. [address] is `ip:port`, [hardwareGeneration] starts at
 * 1 for the slowest generation.
 */
data class ServerView(
    val id: String,
    val address: String,
    val failureDomain: String,
    val target: Target,
    val version: String,
    val health: ServerHealth,
    val hardwareGeneration: Int = 1,
)
