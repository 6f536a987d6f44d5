package io.lavenderhinge.instance.scheduling

import io.lavenderhinge.core.scheduling.ServerView
import io.lavenderhinge.core.scheduling.SlotResult
import java.util.concurrent.atomic.AtomicBoolean
import kotlinx.coroutines.CompletableDeferred

/** Slot held by the request path. Only one of [finish] and [returnUnused] runs, at most once. */
internal class AcquiredSlot(
    override val requestId: String,
    override val server: ServerView,
    override val cachedPrefixTokens: Int,
    private val finish: (SlotResult) -> Unit,
    private val returnUnused: () -> Unit,
) : Slot {
    private val hasEnded = AtomicBoolean()
    override val preempted = CompletableDeferred<Unit>()

    override fun done(result: SlotResult) = end { finish(result) }

    override fun release() = end(returnUnused)

    private fun end(action: () -> Unit) {
        if (!hasEnded.compareAndSet(false, true)) return
        action()
        preempted.cancel()
    }
}
