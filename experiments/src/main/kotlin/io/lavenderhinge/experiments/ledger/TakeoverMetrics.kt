package io.lavenderhinge.experiments.ledger

/**
 * What taking over the shards of a killed writer needed. [millisByShard] runs from the kill, which
 * the others learn of at once, to the first dispatch; null if there was none.
 */
class TakeoverMetrics(
    private val millisByShard: Map<Int, Double?>,
    private val reads: Long,
    private val readBytes: Long,
) {
    fun print(echo: (String) -> Unit) {
        for ((shard, millis) in millisByShard) {
            val time = millis?.let { "%.1f ms to the next dispatch".format(it) }
            echo("takeover of shard $shard: ${time ?: "no request came"}")
        }
        echo("takeover: $reads reads, $readBytes bytes in 5 s, other reads included")
    }
}
