package io.lavenderhinge.experiments.baseline

import io.lavenderhinge.core.port.LoadReport
import kotlin.random.Random

/** What an entry instance acting alone knows about the backend servers. */
internal class LocalLoadView(val random: Random) {
    val reports = HashMap<String, LoadReport>()
    private val inFlight = HashMap<String, Int>()

    /** Requests that this instance has sent to [serverId] and that have not ended. */
    fun inFlight(serverId: String): Int = inFlight[serverId] ?: 0

    fun recordDispatch(serverId: String) {
        inFlight.merge(serverId, 1, Int::plus)
    }

    fun recordEnd(serverId: String) {
        inFlight.merge(serverId, -1, Int::plus)
    }
}

/** Rule by which a baseline chooses a backend server from the ids of the candidates. */
internal fun interface ServerSelection {
    fun select(serverIds: List<String>, view: LocalLoadView): String
}

internal class RandomSelection : ServerSelection {
    override fun select(serverIds: List<String>, view: LocalLoadView): String =
        serverIds.random(view.random)
}

/** Starts anywhere, so that the instances do not move in step. */
internal class RoundRobinSelection(random: Random) : ServerSelection {
    private var next = random.nextInt(1_000)

    override fun select(serverIds: List<String>, view: LocalLoadView): String =
        serverIds[next++ % serverIds.size]
}

/** Draws two backend servers and takes the one whose last load report shows fewer requests. */
internal class PowerOfTwoChoices : ServerSelection {
    override fun select(serverIds: List<String>, view: LocalLoadView): String {
        val first = serverIds.random(view.random)
        val second = serverIds.random(view.random)
        return if (reportedLoad(second, view) < reportedLoad(first, view)) second else first
    }

    private fun reportedLoad(serverId: String, view: LocalLoadView): Int =
        view.reports[serverId]?.let { it.running + it.waiting } ?: 0
}

/** Takes the backend server with the fewest requests of this instance in flight. */
internal class LeastLocalInFlight : ServerSelection {
    override fun select(serverIds: List<String>, view: LocalLoadView): String {
        val fewest = serverIds.minOf(view::inFlight)
        return serverIds.filter { view.inFlight(it) == fewest }.random(view.random)
    }
}
