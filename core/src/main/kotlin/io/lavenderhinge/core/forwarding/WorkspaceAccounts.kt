package io.lavenderhinge.core.forwarding

import kotlin.math.exp

/**
 * The slot time that each workspace took in one pool, by priority, over all instances.
 *
 * Only slot time that was taken while requests were waiting is charged, since a slot that nobody
 * else asked for is taken from nobody. Charges fade within a few seconds, so that a workspace
 * neither saves up an advantage nor pays for a burst that is over. A request is charged on its
 * start with the mean slot time of its workspace; on its end, slots would be handed out too late to
 * the workspace that has too few. Not thread-safe: all calls must come from one thread.
 */
internal class WorkspaceAccounts(
    /** Expected slot time of a workspace of this priority without a finished request. */
    private val unknownHoldMillis: (priority: Int) -> Double
) {
    private class Account(var updatedMillis: Long) {
        /** Charges of all instances, as faded at [updatedMillis]. */
        var fadedMillis = 0.0
        /** Charges of this instance since its start. */
        var ownMillis = 0.0
        var ownChargedMillis = Long.MIN_VALUE / 2

        fun charge(slotMillis: Double, nowMillis: Long) {
            fadedMillis = at(nowMillis) + slotMillis
            updatedMillis = nowMillis
        }

        fun at(nowMillis: Long): Double =
            fadedMillis * exp((updatedMillis - nowMillis) / FADE_MILLIS)
    }

    private class MeanHold(var millis: Double)

    private val accounts = HashMap<Int, HashMap<String, Account>>()
    private val holds = HashMap<Int, HashMap<String, MeanHold>>()
    private var removedMillis = 0L

    /** Returns how long a request of [workspace] is expected to use its slot. */
    fun holdMillis(priority: Int, workspace: String): Double =
        holds[priority]?.get(workspace)?.millis ?: unknownHoldMillis(priority)

    /** Records that a request of this instance took a slot while others were waiting. */
    fun onStarted(priority: Int, workspace: String, nowMillis: Long) {
        val slotMillis = holdMillis(priority, workspace)
        val account = account(priority, workspace, nowMillis)
        account.charge(slotMillis, nowMillis)
        account.ownMillis += slotMillis
        account.ownChargedMillis = nowMillis
        removeOld(nowMillis)
    }

    /** Records how long a request of [workspace] used its slot. */
    fun onFinished(priority: Int, workspace: String, holdMillis: Double) {
        val hold = holds.getOrPut(priority, ::HashMap).getOrPut(workspace) { MeanHold(holdMillis) }
        hold.millis += (holdMillis - hold.millis) * SAMPLE_WEIGHT
    }

    /** Records that a peer charged [slotMillis] to [workspace]. */
    fun onPeerCharge(priority: Int, workspace: String, slotMillis: Double, nowMillis: Long) {
        account(priority, workspace, nowMillis).charge(slotMillis, nowMillis)
        removeOld(nowMillis)
    }

    /** Returns the faded charges of each workspace. */
    fun charges(priority: Int, nowMillis: Long): Map<String, Double> =
        accounts[priority].orEmpty().mapValues { (_, account) -> account.at(nowMillis) }

    /** Returns what this instance charged since its start, where that is of interest to peers. */
    fun ownMillis(service: String, nowMillis: Long): Map<WorkspaceKey, Double> =
        accounts
            .flatMap { (priority, byWorkspace) ->
                byWorkspace
                    .filterValues { nowMillis - it.ownChargedMillis <= REPORTED_MILLIS }
                    .map { (name, account) ->
                        WorkspaceKey(service, priority, name) to account.ownMillis
                    }
            }
            .toMap()

    private fun account(priority: Int, workspace: String, nowMillis: Long): Account =
        accounts.getOrPut(priority, ::HashMap).getOrPut(workspace) { Account(nowMillis) }

    private fun removeOld(nowMillis: Long) {
        if (nowMillis - removedMillis < REPORTED_MILLIS) return
        removedMillis = nowMillis
        accounts.values.forEach { byWorkspace ->
            byWorkspace.values.removeIf { nowMillis - it.updatedMillis > KEPT_MILLIS }
        }
        accounts.values.removeIf { it.isEmpty() }
    }

    private companion object {
        /** Time in which a charge fades to about a third. */
        const val FADE_MILLIS = 2_000.0
        /** After this, a charge has faded to less than a hundredth. */
        const val REPORTED_MILLIS = 10_000L
        /** Peers compare totals, so an account outlives the reports that list it. */
        const val KEPT_MILLIS = 2 * REPORTED_MILLIS
        const val SAMPLE_WEIGHT = 0.1
    }
}
