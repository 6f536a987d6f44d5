package io.lavenderhinge.instance.rollout

import arrow.core.Either
import arrow.core.getOrElse
import io.lavenderhinge.core.port.EngineAction
import io.lavenderhinge.core.port.EngineFault
import io.lavenderhinge.core.port.EngineOrder
import io.lavenderhinge.core.port.StoreFault
import io.lavenderhinge.core.rollout.ControllerEffect
import io.lavenderhinge.core.rollout.ControllerEvent
import io.lavenderhinge.core.rollout.StoredRecord
import io.lavenderhinge.core.rollout.TeamTarget
import org.slf4j.LoggerFactory

/** Executes the effects of one target's controller and converts the results to events. */
internal class EffectExecutor(
    private val ports: RolloutPorts,
    private val target: TeamTarget,
    private val nowMillis: () -> Long,
) {
    private val lease = LeaseClient(ports.store, ports.links.selfId, target.leaseKey, nowMillis)

    /** Executes [effect]; returns the resulting event, or null if there is none. */
    suspend fun execute(effect: ControllerEffect): ControllerEvent? =
        when (effect) {
            is ControllerEffect.AcquireLease -> lease.acquire()
            is ControllerEffect.RenewLease -> lease.renew(effect.leaseId)
            is ControllerEffect.ReadRecords -> readRecords(ports, target.team)
            is ControllerEffect.WriteRecord -> write(effect)
            is ControllerEffect.CheckWeights -> checkWeights(effect)
            is ControllerEffect.OrderLoad -> orderLoad(effect)
            is ControllerEffect.PublishStatement -> publishStatement(effect)
            is ControllerEffect.RaiseStopFlag -> null
        }

    private suspend fun write(effect: ControllerEffect.WriteRecord): ControllerEvent {
        val record = effect.record
        val key = record.plan.recordKey
        val result =
            ports.store.compareAndSwap(key, effect.expectedVersion, RecordCodec.encode(record))
        return when (result) {
            is Either.Right -> {
                log.info("rollout: {} {} share {}", key, record.phase, record.shareFraction)
                ControllerEvent.RecordWritten(record, result.value)
            }
            is Either.Left -> writeFailure(key, result.value)
        }
    }

    private fun writeFailure(key: String, fault: StoreFault): ControllerEvent {
        log.warn("rollout: {} was not written: {}", key, fault.message)
        return when (fault) {
            is StoreFault.Conflict,
            is StoreFault.OutcomeUnknown -> ControllerEvent.WriteUnconfirmed
            is StoreFault.Unavailable,
            is StoreFault.TooLarge,
            is StoreFault.BudgetExhausted,
            is StoreFault.HistoryLost -> ControllerEvent.StoreUnavailable
        }
    }

    private suspend fun checkWeights(effect: ControllerEffect.CheckWeights): ControllerEvent? =
        ports.weights
            .hasWeights(target.target.name, effect.version)
            .fold({ null }, { ControllerEvent.WeightsChecked(effect.version, it) })

    private suspend fun orderLoad(effect: ControllerEffect.OrderLoad): ControllerEvent? {
        val engine =
            ports.servers(target).firstOrNull { it.id == effect.serverId }?.engine ?: return null
        val order = EngineOrder(EngineAction.LOAD, effect.version, effect.fencingNumber)
        return engine
            .order(order)
            .fold(
                { fault ->
                    log.warn("rollout: {} did not load: {}", effect.serverId, fault.message)
                    (fault as? EngineFault.Fenced)?.let {
                        ControllerEvent.Fenced(it.currentFencingNumber)
                    }
                },
                { ControllerEvent.VersionLoaded(effect.serverId, effect.version) },
            )
    }

    // A failed write is not retried; the statement is written again when it changes.
    private suspend fun publishStatement(
        effect: ControllerEffect.PublishStatement
    ): ControllerEvent? {
        val key = effect.plan.statusKey
        val current =
            ports.store.get(key).getOrElse {
                return null
            }
        if (current?.value == effect.statement) return null
        ports.store.compareAndSwap(key, current?.version ?: 0, effect.statement).onLeft {
            log.warn("rollout: {} was not written: {}", key, it.message)
        }
        return null
    }

    companion object {
        private val log = LoggerFactory.getLogger(EffectExecutor::class.java)

        /**
         * Reads the records of [team]. Records of a newer release that cannot be decoded are
         * skipped.
         */
        suspend fun readRecords(ports: RolloutPorts, team: String): ControllerEvent =
            ports.store
                .list("rollout/$team/")
                .fold(
                    { ControllerEvent.StoreUnavailable },
                    { values ->
                        ControllerEvent.RecordsRead(
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
