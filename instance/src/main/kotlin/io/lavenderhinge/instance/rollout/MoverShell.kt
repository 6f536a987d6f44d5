package io.lavenderhinge.instance.rollout

import arrow.core.Either
import io.lavenderhinge.core.port.EngineAction
import io.lavenderhinge.core.port.EngineFault
import io.lavenderhinge.core.port.EngineOrder
import io.lavenderhinge.core.port.StoreFault
import io.lavenderhinge.core.rollout.MoverEffect
import io.lavenderhinge.core.rollout.MoverEvent
import io.lavenderhinge.core.rollout.StoredRecord
import io.lavenderhinge.core.rollout.TeamTarget
import org.slf4j.LoggerFactory

/** Executes the effects of one target's mover and turns their results into events. */
internal class MoverShell(
    private val ports: RolloutPorts,
    private val target: TeamTarget,
    private val nowMillis: () -> Long,
) {
    private val lease = LeaseShell(ports.store, ports.links.selfId, target.leaseKey, nowMillis)

    /** The event that answers [effect]; null for effects that have no answer. */
    suspend fun execute(effect: MoverEffect): MoverEvent? =
        when (effect) {
            is MoverEffect.ClaimLease -> lease.claim()
            is MoverEffect.RenewLease -> lease.renew(effect.leaseId)
            is MoverEffect.ReadRecords -> readRecords(ports, target.team)
            is MoverEffect.WriteRecord -> write(effect)
            is MoverEffect.CheckWeights -> checkWeights(effect)
            is MoverEffect.OrderLoad -> order(effect)
            is MoverEffect.Publish -> publish(effect)
            is MoverEffect.RaiseStop -> null
        }

    private suspend fun write(effect: MoverEffect.WriteRecord): MoverEvent {
        val record = effect.record
        val key = record.plan.recordKey
        val result =
            ports.store.compareAndSwap(key, effect.expectedVersion, RecordCodec.encode(record))
        return when (result) {
            is Either.Right -> {
                log.info("rollout: {} {} share {}", key, record.phase, record.shareFraction)
                MoverEvent.Written(record, result.value)
            }
            is Either.Left -> undecided(key, result.value)
        }
    }

    private fun undecided(key: String, fault: StoreFault): MoverEvent {
        log.warn("rollout: {} was not written: {}", key, fault.message)
        return when (fault) {
            is StoreFault.Conflict,
            is StoreFault.OutcomeUnknown -> MoverEvent.WriteUndecided
            is StoreFault.Unavailable,
            is StoreFault.TooLarge,
            is StoreFault.BudgetExhausted,
            is StoreFault.HistoryLost -> MoverEvent.StoreUnavailable
        }
    }

    private suspend fun checkWeights(effect: MoverEffect.CheckWeights): MoverEvent? =
        ports.weights
            .hasWeights(target.target.name, effect.version)
            .fold({ null }, { MoverEvent.WeightsChecked(effect.version, it) })

    private suspend fun order(effect: MoverEffect.OrderLoad): MoverEvent? {
        val engine =
            ports.servers(target).firstOrNull { it.id == effect.serverId }?.engine ?: return null
        val order = EngineOrder(EngineAction.LOAD, effect.version, effect.fencingNumber)
        return engine
            .order(order)
            .fold(
                { fault ->
                    log.warn("rollout: {} did not load: {}", effect.serverId, fault.message)
                    (fault as? EngineFault.Fenced)?.let {
                        MoverEvent.Fenced(it.currentFencingNumber)
                    }
                },
                { MoverEvent.Loaded(effect.serverId, effect.version) },
            )
    }

    // A statement is written again when it changes; one that could not be written is not repeated.
    private suspend fun publish(effect: MoverEffect.Publish): MoverEvent? {
        val key = effect.plan.statusKey
        val current =
            ports.store
                .get(key)
                .fold(
                    {
                        return null
                    },
                    { it },
                )
        if (current?.value == effect.statement) return null
        ports.store.compareAndSwap(key, current?.version ?: 0, effect.statement).onLeft {
            log.warn("rollout: {} was not written: {}", key, it.message)
        }
        return null
    }

    companion object {
        private val log = LoggerFactory.getLogger(MoverShell::class.java)

        /**
         * Reads the records of [team]; records of a newer release that cannot be read are left out.
         */
        suspend fun readRecords(ports: RolloutPorts, team: String): MoverEvent =
            ports.store
                .list("rollout/$team/")
                .fold(
                    { MoverEvent.StoreUnavailable },
                    { values ->
                        MoverEvent.RecordsRead(
                            values.mapNotNull { value ->
                                RecordCodec.decode(value.value)?.let {
                                    StoredRecord(it, value.version)
                                }
                            }
                        )
                    },
                )
    }
}
