package io.lavenderhinge.core.rollout

/** What the mover of one target learns. */
sealed interface MoverEvent {
    /** Time passed. */
    data object Tick : MoverEvent

    /** The rollouts that the settings in force declare for the target. */
    data class PlansInForce(val plans: List<RolloutPlan>) : MoverEvent

    /** Whether this instance is among those that may become the mover. */
    data class Candidacy(val candidate: Boolean) : MoverEvent

    /** The lease was granted or renewed by a call sent at [sentAtMillis]. */
    data class LeaseHeld(val leaseId: String, val sentAtMillis: Long, val timeToLiveMillis: Long) :
        MoverEvent

    /** The lease is held by another instance or has lapsed. */
    data object LeaseRefused : MoverEvent

    /** A call for the lease had no result; the platform may be down. */
    data object LeaseUnanswered : MoverEvent

    /** All records of the team that exist. */
    data class RecordsRead(val records: List<StoredRecord>) : MoverEvent

    /** The write was accepted; [version] is the new fencing number. */
    data class Written(val record: RolloutRecord, val version: Long) : MoverEvent

    /** The write was refused, or its answer was lost: the records must be read again. */
    data object WriteUndecided : MoverEvent

    /** Nothing was written or read; try again later. */
    data object StoreUnavailable : MoverEvent

    /** Whether the weights of the new version can be loaded. */
    data class WeightsChecked(val version: String, val present: Boolean) : MoverEvent

    /** The backend servers of the target and which of them have the new version. */
    data class ServersSeen(val servers: List<ServerVersion>) : MoverEvent

    /** A backend server took the order to load [version]. */
    data class Loaded(val serverId: String, val version: String) : MoverEvent

    /** A backend server has seen a higher fencing number. */
    data class Fenced(val currentFencingNumber: Long) : MoverEvent

    /** Counts of one instance. */
    data class Stats(val report: StatsReport) : MoverEvent

    /** Stop flags learned from gossip or raised here. */
    data class Stopped(val flags: List<StopFlag>) : MoverEvent
}

/** A backend server and the version it is listed with. */
data class ServerVersion(val id: String, val version: String, val takesOrders: Boolean)

/** What the shell does for the mover. Every effect may be repeated without harm. */
sealed interface MoverEffect {
    /** Ask for the lease of the target. */
    data object ClaimLease : MoverEffect

    /** Renew the lease. */
    data class RenewLease(val leaseId: String) : MoverEffect

    /** Read all records of the team. */
    data object ReadRecords : MoverEffect

    /** Write [record] if the version of its key is [expectedVersion]. */
    data class WriteRecord(val record: RolloutRecord, val expectedVersion: Long) : MoverEffect

    /** Ask the weight store for [version]. */
    data class CheckWeights(val version: String) : MoverEffect

    /** Order a backend server to load [version]. */
    data class OrderLoad(val serverId: String, val version: String, val fencingNumber: Long) :
        MoverEffect

    /** Spread a stop flag. */
    data class RaiseStop(val flag: StopFlag) : MoverEffect

    /** Publish the statement of a rollout. */
    data class Publish(val plan: RolloutPlan, val statement: String) : MoverEffect
}
