package io.lavenderhinge.core.forwarding

/**
 * Turns the totals that peers report for their workspaces into charges.
 *
 * A lost report is made up for by the next one. A peer that was not heard of for longer than
 * charges matter starts anew, as its charges of that time would count all at once; so does one
 * whose total is lower than before, because it has restarted.
 */
internal class PeerWorkspaceUses {
    private class Reported(val uses: Map<WorkspaceKey, WorkspaceUse>, val receivedMillis: Long)

    private val reported = HashMap<String, Reported>()
    private var removedMillis = 0L

    /** Calls [charge] with what [uses] adds to the previous report of [peer]. */
    fun onReport(
        peer: String,
        uses: Map<WorkspaceKey, WorkspaceUse>,
        nowMillis: Long,
        charge: (key: WorkspaceKey, slotMillis: Double) -> Unit,
    ) {
        removeOld(nowMillis)
        val previous = reported.put(peer, Reported(uses, nowMillis)) ?: return
        if (nowMillis - previous.receivedMillis > MAX_GAP_MILLIS) return
        uses.forEach { (key, use) ->
            val before = previous.uses[key]?.slotMillis ?: 0.0
            val slotMillis =
                if (use.slotMillis < before) use.slotMillis else use.slotMillis - before
            if (slotMillis > 0) charge(key, slotMillis)
        }
    }

    private fun removeOld(nowMillis: Long) {
        if (nowMillis - removedMillis < MAX_GAP_MILLIS) return
        removedMillis = nowMillis
        reported.values.removeIf { nowMillis - it.receivedMillis > MAX_GAP_MILLIS }
    }

    private companion object {
        /** About the time in which charges fade. */
        const val MAX_GAP_MILLIS = 2_000L
    }
}
