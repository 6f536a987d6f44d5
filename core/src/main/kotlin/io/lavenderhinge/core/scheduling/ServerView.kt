package io.lavenderhinge.core.scheduling

import io.lavenderhinge.core.settings.Target

/**
 * A backend server as seen by this instance. [address] has the form `ip:port`. [hardwareGeneration]
 * starts at 1.
 */
data class ServerView(
    val id: String,
    val address: String,
    val failureDomain: String,
    val target: Target,
    val version: String,
    val health: ServerHealth = ServerHealth(ServerState.LIVE),
    val hardwareGeneration: Int = 1,
)
