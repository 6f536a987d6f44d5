package io.lavenderhinge.core.rollout

/** What the mover of one target learns. */
sealed interface ControllerEvent {
    /** Time passed. */
    data object Tick : ControllerEvent

    /** The rollouts that the settings in force declare for the target. */
    data class PlansUpdated(val plans: List<RolloutPlan>) : ControllerEvent

    /** Whether this instance is among those that may become the mover. */
    data class Candidacy(val candidate: Boolean) : ControllerEvent

    /** The lease was granted or renewed by a call sent at [sentAtMillis]. */
    data class LeaseGranted(
        val leaseId: String,
        val sentAtMillis: Long,
        val timeToLiveMillis: Long,
    ) : ControllerEvent

    /** The lease is held by another instance or has lapsed. */
    data object LeaseRefused : ControllerEvent

    /** A call for the lease had no result; the platform may be down. */
    data object LeaseCallFailed : ControllerEvent

    /** All records of the team that exist. */
    data class RecordsRead(val records: List<StoredRecord>) : ControllerEvent

    /** The write was accepted; [version] is the new fencing number. */
    data class RecordWritten(val record: RolloutRecord, val version: Long) : ControllerEvent

    /** The write was refused, or its answer was lost: the records must be read again. */
    data object WriteUnconfirmed : ControllerEvent

    /** Nothing was written or read; try again later. */
    data object StoreUnavailable : ControllerEvent

    /** Whether the weights of the new version can be loaded. */
    data class WeightsChecked(val version: String, val present: Boolean) : ControllerEvent

    /** The backend servers of the target and which of them have the new version. */
    data class ServersUpdated(val servers: List<ServerVersion>) : ControllerEvent

    /** A backend server took the order to load [version]. */
    data class VersionLoaded(val serverId: String, val version: String) : ControllerEvent

    /** A backend server has seen a higher fencing number. */
    data class Fenced(val currentFencingNumber: Long) : ControllerEvent

    /** Counts of one instance. */
    data class StatsReceived(val report: StatsReport) : ControllerEvent

    /** Stop flags learned from gossip or raised here. */
    data class StopFlagsReceived(val flags: List<StopFlag>) : ControllerEvent
}

/** A backend server and the version it is listed with. */
data class ServerVersion(val id: String, val version: String, val takesOrders: Boolean)

/** What the shell does for the mover. Every effect may be repeated without harm. */
sealed interface ControllerEffect {
    /** Ask for the lease of the target. */
    data object AcquireLease : ControllerEffect

    /** Renew the lease. */
    data class RenewLease(val leaseId: String) : ControllerEffect

    /** Read all records of the team. */
    data object ReadRecords : ControllerEffect

    /** Write [record] if the version of its key is [expectedVersion]. */
    data class WriteRecord(val record: RolloutRecord, val expectedVersion: Long) : ControllerEffect

    /** Ask the weight store for [version]. */
    data class CheckWeights(val version: String) : ControllerEffect

    /** Order a backend server to load [version]. */
    data class OrderLoad(val serverId: String, val version: String, val fencingNumber: Long) :
        ControllerEffect

    /** Spread a stop flag. */
    data class RaiseStopFlag(val flag: StopFlag) : ControllerEffect

    /** Publish the statement of a rollout. */
    data class PublishStatement(val plan: RolloutPlan, val statement: String) : ControllerEffect
}
