package io.lavenderhinge.core.rollout

/** Input of the [RolloutController] of one target. */
sealed interface ControllerEvent {
    /** Periodic trigger. */
    data object Tick : ControllerEvent

    /** The rollouts that the current settings declare for the target. */
    data class PlansUpdated(val plans: List<RolloutPlan>) : ControllerEvent

    /** Whether this instance may become the controller. */
    data class Candidacy(val candidate: Boolean) : ControllerEvent

    /** The lease was granted or renewed by a call sent at [sentAtMillis]. */
    data class LeaseGranted(
        val leaseId: String,
        val sentAtMillis: Long,
        val timeToLiveMillis: Long,
    ) : ControllerEvent

    /** Another instance holds the lease, or the lease has expired. */
    data object LeaseRefused : ControllerEvent

    /** A lease call returned no result; the key-value service may be unavailable. */
    data object LeaseCallFailed : ControllerEvent

    /** All existing records of the team. */
    data class RecordsRead(val records: List<StoredRecord>) : ControllerEvent

    /** The write succeeded; [version] is the version of the key at the key-value service. */
    data class RecordWritten(val record: RolloutRecord, val version: Long) : ControllerEvent

    /**
     * The write failed with a conflict or its outcome is unknown; the records must be read again.
     */
    data object WriteUnconfirmed : ControllerEvent

    /** The call had no effect and can be retried. */
    data object StoreUnavailable : ControllerEvent

    /** Whether the weight store has the weights of [version]. */
    data class WeightsChecked(val version: String, val present: Boolean) : ControllerEvent

    /** The live backend servers of the target and their versions. */
    data class ServersUpdated(val servers: List<ServerVersion>) : ControllerEvent

    /** A backend server accepted the order to load [version]. */
    data class VersionLoaded(val serverId: String, val version: String) : ControllerEvent

    /** A backend server rejected an order because it has seen a higher fencing number. */
    data class Fenced(val currentFencingNumber: Long) : ControllerEvent

    /** A statistics report of one instance. */
    data class StatsReceived(val report: StatsReport) : ControllerEvent

    /** Stop flags received by gossip or raised by this instance. */
    data class StopFlagsReceived(val flags: List<StopFlag>) : ControllerEvent
}

/** A backend server with its listed version. [takesOrders] is true for model engines. */
data class ServerVersion(val id: String, val version: String, val takesOrders: Boolean)

/** An action that the caller executes for the [RolloutController]. All effects are idempotent. */
sealed interface ControllerEffect {
    /** Acquire the lease of the target. */
    data object AcquireLease : ControllerEffect

    /** Renew the lease. */
    data class RenewLease(val leaseId: String) : ControllerEffect

    /** Read all records of the team. */
    data object ReadRecords : ControllerEffect

    /** Write [record] if the current version of its key is [expectedVersion]. */
    data class WriteRecord(val record: RolloutRecord, val expectedVersion: Long) : ControllerEffect

    /** Check whether the weight store has [version]. */
    data class CheckWeights(val version: String) : ControllerEffect

    /** Order a backend server to load [version]. */
    data class OrderLoad(val serverId: String, val version: String, val fencingNumber: Long) :
        ControllerEffect

    /** Distribute a stop flag to all instances. */
    data class RaiseStopFlag(val flag: StopFlag) : ControllerEffect

    /** Publish the status statement of a rollout. */
    data class PublishStatement(val plan: RolloutPlan, val statement: String) : ControllerEffect
}
