package io.lavenderhinge.experiments.baseline

import io.lavenderhinge.core.port.LoadReport
import kotlin.random.Random

/** What an entry instance acting alone knows about the backend servers. */
internal class OwnView(val random: Random) {
    val reports = HashMap<String, LoadReport>()
    private val inFlight = HashMap<String, Int>()

    /** Requests that this instance has sent to [serverId] and that have not ended. */
    fun inFlight(serverId: String): Int = inFlight[serverId] ?: 0

    fun countDispatch(serverId: String) {
        inFlight.merge(serverId, 1, Int::plus)
    }

    fun countEnd(serverId: String) {
        inFlight.merge(serverId, -1, Int::plus)
    }
}

/** Rule by which a baseline chooses a backend server from the ids of the candidates. */
internal fun interface ServerChoice {
    fun choose(serverIds: List<String>, view: OwnView): String
}

internal class RandomChoice : ServerChoice {
    override fun choose(serverIds: List<String>, view: OwnView): String =
        serverIds.random(view.random)
}

/** Starts anywhere, so that the instances do not move in step. */
internal class RoundRobinChoice(random: Random) : ServerChoice {
    private var next = random.nextInt(1_000)

    override fun choose(serverIds: List<String>, view: OwnView): String =
        serverIds[next++ % serverIds.size]
}

/** Draws two backend servers and takes the one whose last load report shows fewer requests. */
internal class TwoChoicesOnReports : ServerChoice {
    override fun choose(serverIds: List<String>, view: OwnView): String {
        val first = serverIds.random(view.random)
        val second = serverIds.random(view.random)
        return if (reportedLoad(second, view) < reportedLoad(first, view)) second else first
    }

    private fun reportedLoad(serverId: String, view: OwnView): Int =
        view.reports[serverId]?.let { it.running + it.waiting } ?: 0
}

/** Takes the backend server with the fewest requests of this instance in flight. */
internal class LeastOwnInFlight : ServerChoice {
    override fun choose(serverIds: List<String>, view: OwnView): String {
        val fewest = serverIds.minOf(view::inFlight)
        return serverIds.filter { view.inFlight(it) == fewest }.random(view.random)
    }
}
