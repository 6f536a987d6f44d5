package io.lavenderhinge.experiments.ledger

/**
 * Measurements of the takeover of a killed writer's shards. [millisByShard] is the time from the
 * kill, which the other instances detect at once, to the first dispatch; null without a dispatch.
 */
class TakeoverMetrics(
    private val millisByShard: Map<Int, Double?>,
    private val reads: Long,
    private val readBytes: Long,
) {
    fun print(echo: (String) -> Unit) {
        for ((shard, millis) in millisByShard) {
            val time = millis?.let { "%.1f ms to the next dispatch".format(it) }
            echo("takeover of shard $shard: ${time ?: "no dispatch"}")
        }
        echo("takeover: $reads reads, $readBytes bytes in 5 s, including unrelated reads")
    }
}
