package io.lavenderhinge.core.forwarding

import kotlin.math.pow
import kotlin.random.Random

/** What a request can expect at one server. */
internal class ServerEstimate(
    val load: ServerLoad,
    /** Includes penalties, so it may exceed the time until the first event. */
    val expectedMillis: Double,
    /** Prompt tokens that are not expected in the cache of the server. */
    val uncachedTokens: Double,
)

/**
 * Chooses the servers that an instance compares for a request.
 *
 * Reports are older in a larger fleet, where more instances decide between two of them. If all
 * chose the best server of the same old reports, it would be overloaded at once. Each instance
 * therefore compares the preferred servers and a random sample that shrinks as the fleet grows.
 * Servers of its own failure domain are sampled apart, as traffic between domains is charged.
 */
internal class CandidateSampler(private val random: Random) {
    /** Returns those of [servers] to compare. The [preferred] ids are included if free. */
    fun candidates(
        servers: List<ServerLoad>,
        preferred: List<String>,
        failureDomain: String,
        peerCount: Int,
    ): List<ServerLoad> {
        val free = servers.filter { it.freeSlots > 0 }
        val fraction = (COMPARING_FLEET / (peerCount + 1)).pow(2)
        if (free.isEmpty() || fraction >= 1) return servers
        val (near, far) = free.partition { it.record.entry.failureDomain == failureDomain }
        val sampled = sample(near, fraction) + sample(far, fraction)
        // If there is little choice, a server whose slot becomes free soon may be the better one.
        if (sampled.size == free.size) return servers
        return sampled + free.filter { it.record.entry.id in preferred }
    }

    // Draws only as many servers as are needed, since a shuffle of all costs more than the rest of
    // a placement.
    private fun sample(servers: List<ServerLoad>, fraction: Double): List<ServerLoad> {
        val count = (servers.size * fraction).toInt().coerceAtLeast(MIN_SAMPLE)
        if (count >= servers.size) return servers
        val remaining = servers.toMutableList()
        return List(count) { drawn ->
            val index = random.nextInt(drawn, remaining.size)
            remaining[index].also { remaining[index] = remaining[drawn] }
        }
    }

    private companion object {
        /** Up to this number of instances, each compares all servers. */
        const val COMPARING_FLEET = 10.0
        const val MIN_SAMPLE = 2
    }
}
