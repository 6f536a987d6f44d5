package io.lavenderhinge.experiments.baseline

import io.lavenderhinge.core.port.LoadReport
import kotlin.random.Random

/** Load of the backend servers as one entry instance knows it without its peers. */
internal class LocalLoadView(val random: Random) {
    val reports = HashMap<String, LoadReport>()
    private val inFlight = HashMap<String, Int>()

    /** Number of active requests of this instance on [serverId]. */
    fun inFlight(serverId: String): Int = inFlight[serverId] ?: 0

    fun recordDispatch(serverId: String) {
        inFlight.merge(serverId, 1, Int::plus)
    }

    fun recordEnd(serverId: String) {
        inFlight.merge(serverId, -1, Int::plus)
    }
}

/** Server selection policy of a baseline scheduler. */
internal fun interface ServerSelection {
    fun select(serverIds: List<String>, view: LocalLoadView): String
}

internal class RandomSelection : ServerSelection {
    override fun select(serverIds: List<String>, view: LocalLoadView): String =
        serverIds.random(view.random)
}

/** Starts at a random position, so that the instances are not synchronized. */
internal class RoundRobinSelection(random: Random) : ServerSelection {
    private var next = random.nextInt(1_000)

    override fun select(serverIds: List<String>, view: LocalLoadView): String =
        serverIds[next++ % serverIds.size]
}

/** Picks two random servers and selects the one with fewer requests in its last load report. */
internal class PowerOfTwoChoices : ServerSelection {
    override fun select(serverIds: List<String>, view: LocalLoadView): String {
        val first = serverIds.random(view.random)
        val second = serverIds.random(view.random)
        return if (reportedLoad(second, view) < reportedLoad(first, view)) second else first
    }

    private fun reportedLoad(serverId: String, view: LocalLoadView): Int =
        view.reports[serverId]?.let { it.running + it.waiting } ?: 0
}

/** Selects the server with the fewest in-flight requests of this instance. */
internal class LeastLocalInFlight : ServerSelection {
    override fun select(serverIds: List<String>, view: LocalLoadView): String {
        val fewest = serverIds.minOf(view::inFlight)
        return serverIds.filter { view.inFlight(it) == fewest }.random(view.random)
    }
}
