package io.lavenderhinge.core.forwarding

/** Identifies the requests of one workspace and priority to a service. */
data class WorkspaceKey(
    val service: String,
    val priority: Int,
    /** Empty for requests without a credential. */
    val workspace: String,
)

/** What one instance uses of a service for one workspace and priority. */
data class WorkspaceUse(
    /** Slot time taken while requests were waiting, since the start of the instance. */
    val slotMillis: Double,
    /** Number of queued requests that can still be on time. */
    val waiting: Int,
)

/** Requests of one workspace in a queue. */
internal class WaitingWorkspace(val workspace: String, val count: Int)

/** The workspace that is charged for the request; empty if it needs no credential. */
internal val DispatchRequest.chargedWorkspace: String
    get() = workspace.orEmpty()
