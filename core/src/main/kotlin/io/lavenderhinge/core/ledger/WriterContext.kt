package io.lavenderhinge.core.ledger

import kotlin.random.Random

/** What a [ShardWriter] needs to know of its surroundings. */
internal class WriterContext(
    val instanceId: String,
    /** Unique for each process, so that a restarted instance never takes old writes for its own. */
    val writerId: String,
    val limits: LedgerLimits,
    val random: Random,
    val selectedWriter: (shard: Int) -> String?,
    val nextStoreCallId: () -> Long,
    /** Counts through all writers of the process: a shard may be dropped and taken up again. */
    val nextCommitNumber: () -> Long,
    val nextOwnerQueryId: (shard: Int) -> Long,
    val emit: (LedgerEffect) -> Unit,
)
