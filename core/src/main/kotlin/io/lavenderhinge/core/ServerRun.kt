package io.lavenderhinge.core

/** One run of a backend server's process. A server that restarts begins another run. */
data class ServerRun(val serverId: String, val startedMillis: Long)
