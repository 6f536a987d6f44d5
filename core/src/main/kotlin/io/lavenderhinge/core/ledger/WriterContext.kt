package io.lavenderhinge.core.ledger

import kotlin.random.Random

/** Dependencies shared by all [ShardWriter]s of one process. */
internal class WriterContext(
    val instanceId: String,
    /**
     * Unique per process, so that a restarted instance does not mistake earlier writes for its own.
     */
    val writerId: String,
    val limits: LedgerLimits,
    val random: Random,
    val selectedWriter: (shard: Int) -> String?,
    val nextStoreCallId: () -> Long,
    /**
     * Shared by all writers of the process: a shard may be unloaded and loaded again, and a commit
     * number must not repeat.
     */
    val nextCommitNumber: () -> Long,
    val nextOwnerQueryId: (shard: Int) -> Long,
    val emit: (LedgerEffect) -> Unit,
)
